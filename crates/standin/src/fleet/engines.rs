//! Backend servers behind proxies.

use super::{Platform, Settings};
use crate::history;
use crate::proxy::{self, Proxy};
use crate::vms::Target;
use crate::{Error, engine, reservation};

/// A backend server, listed under the address of the proxy before it.
#[derive(Debug)]
pub struct Backend {
    /// Address under which it is listed.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Proxy between nodes and the server.
    pub proxy: Proxy,
    /// The engine, unless it is a reservation server.
    pub engine: Option<engine::Server>,
    _service: Option<reservation::Server>,
}

impl Backend {
    /// Starts all backend servers and lists them.
    pub async fn start_all(settings: &Settings, platform: &Platform) -> Result<Vec<Self>, Error> {
        let mut backends = Vec::new();
        for (index, spec) in settings.engines.iter().enumerate() {
            let proxy = Self::proxy(settings.seed + index as u64).await?;
            let address = proxy.address().to_string();
            let served = &spec.settings;
            let target = Target::engine(&address, &spec.zone, &served.model, &served.version);
            let mut engine = served.clone();
            engine.reported = Some(address.clone());
            let engine = engine::Server::start(engine, platform.recorder.clone()).await?;
            proxy.retarget(engine.address());
            platform.vms.put(target);
            backends.push(Self {
                address,
                zone: spec.zone.clone(),
                proxy,
                engine: Some(engine),
                _service: None,
            });
        }
        for zone in &settings.services {
            backends.push(Self::service(settings, platform, zone).await?);
        }
        Ok(backends)
    }

    /// What the checker needs to know.
    pub fn server(&self) -> history::Server {
        history::Server {
            backend: self.address.clone(),
            zone: self.zone.clone(),
            counters: self.engine.as_ref().map(engine::Server::counters),
        }
    }

    async fn service(settings: &Settings, platform: &Platform, zone: &str) -> Result<Self, Error> {
        let proxy = Self::proxy(settings.seed).await?;
        let address = proxy.address().to_string();
        let service = reservation::Settings {
            latency: settings.service_latency,
            reported: Some(address.clone()),
            ..reservation::Settings::default()
        };
        let name = service.service.clone();
        let service = reservation::Server::start(service, platform.recorder.clone()).await?;
        proxy.retarget(service.address());
        platform.vms.put(Target::service(&address, zone, &name));
        Ok(Self {
            address,
            zone: zone.to_owned(),
            proxy,
            engine: None,
            _service: Some(service),
        })
    }

    async fn proxy(seed: u64) -> Result<Proxy, Error> {
        let settings = proxy::Settings {
            seed,
            ..proxy::Settings::default()
        };
        Proxy::start(crate::serve::loopback(1), settings).await
    }
}

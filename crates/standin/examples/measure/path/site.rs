//! One node with two peers before two engines, each a process of its own.

use super::load::Target;
use crate::usage;
use contract::{Model, Object, Version};
use reqwest::Client;
use standin::fleet::{Edit, Fleet, Settings};
use standin::history::Intent;
use standin::{Error, launch, vms};
use std::time::{Duration, Instant};
use tokio::process::Child;
use tokio::time::sleep;

const ZONE: &str = "a";
/// The node under load and two peers, which hold copies of its bills.
const ZONES: [&str; 3] = [ZONE, "b", "c"];
/// Version that answers fast.
const QUICK: &str = "small@1";
/// Version whose streams stay open.
const SLOW: &str = "large@1";
const QUICK_ENGINE: &str =
    "--engine=small@1,zone=a,first_token_ms=2,inter_token_ms=0,slots=4096,fallible=false";
const SLOW_ENGINE: &str = "--engine=large@1,zone=a,first_token_ms=2,inter_token_ms=100,words=400,slots=4096,fallible=false";
/// Requests that an engine carries at once.
const SLOTS: u32 = 4096;
const READY_LIMIT: Duration = Duration::from_secs(15);
const READY_PAUSE: Duration = Duration::from_millis(100);

/// What a node has used.
#[derive(Clone, Copy, Debug)]
pub struct Used {
    /// Processor time.
    pub cpu_seconds: f64,
    /// Writes to the table service.
    pub table_writes: f64,
}

/// The node, its engines and the platform's stand-ins.
pub struct Site {
    fleet: Fleet,
    quick: String,
    direct: Client,
    through: Client,
    _engines: Vec<Child>,
}

impl Used {
    /// What was used since another reading.
    pub fn since(self, before: Self) -> Self {
        Self {
            cpu_seconds: self.cpu_seconds - before.cpu_seconds,
            table_writes: self.table_writes - before.table_writes,
        }
    }
}

impl Site {
    /// Starts everything and waits until the node answers from both engines.
    pub async fn start() -> Result<Self, Error> {
        let settings = Settings {
            zones: ZONES.map(|zone| (zone.to_owned(), 1)).to_vec(),
            engines: Vec::new(),
            services: Vec::new(),
            writes_per_second: None,
            flags: Vec::new(),
            ..Settings::default()
        };
        let fleet = Fleet::start(settings).await?;
        let mut site = Self {
            fleet,
            quick: String::new(),
            direct: Client::new(),
            through: Client::new(),
            _engines: Vec::new(),
        };
        site.quick = site.engine(QUICK_ENGINE, "small").await?;
        site.engine(SLOW_ENGINE, "large").await?;
        site.answers(&site.through_node()).await?;
        site.answers(&site.slow_streams()).await?;
        Ok(site)
    }

    /// Straight to the engine.
    pub fn direct(&self) -> Target {
        Target {
            client: self.direct.clone(),
            url: format!("http://{}", self.quick),
            model: QUICK,
            key: "",
        }
    }

    /// Through the node to the same engine.
    pub fn through_node(&self) -> Target {
        Target {
            client: self.through.clone(),
            url: self.fleet.nodes[0].entry().url,
            model: QUICK,
            key: "north-key",
        }
    }

    /// Through the node to an engine whose streams stay open.
    pub fn slow_streams(&self) -> Target {
        Target {
            model: SLOW,
            ..self.through_node()
        }
    }

    /// What the node has used so far.
    pub fn used(&self) -> Result<Used, Error> {
        Ok(Used {
            cpu_seconds: usage::cpu_seconds(self.node_id()?)?,
            table_writes: self.fleet.platform.table.stats().write_calls as f64,
        })
    }

    /// Resident memory of the node.
    pub fn memory_mib(&self) -> Result<f64, Error> {
        usage::memory_mib(self.node_id()?)
    }

    fn node_id(&self) -> Result<u32, Error> {
        let process = self.fleet.nodes[0].process.as_ref();
        process
            .and_then(|process| process.id())
            .ok_or(Error::Timeout("process of the node"))
    }

    /// Starts an engine and says in the configuration how much it carries.
    async fn engine(&mut self, spec: &str, model: &str) -> Result<String, Error> {
        let (child, addresses) = launch::start(&["engines", spec]).await?;
        self._engines.push(child);
        let edit = Edit::Put(Object::Model(roomy(model)));
        self.fleet.change(0, edit, Intent::Other).await;
        let target = vms::Target::engine(&addresses[0], ZONE, model, "1");
        self.fleet.platform.vms.put(target);
        Ok(addresses[0].clone())
    }

    async fn answers(&self, target: &Target) -> Result<(), Error> {
        let deadline = Instant::now() + READY_LIMIT;
        while super::load::send(target, true, None).await.is_none() {
            if Instant::now() > deadline {
                return Err(Error::Timeout("answers through the node"));
            }
            sleep(READY_PAUSE).await;
        }
        Ok(())
    }
}

/// A model whose servers carry all that is sent from the start.
fn roomy(name: &str) -> Model {
    let version = Version {
        cold_slots: SLOTS,
        fenced: false,
        input_micros: 100,
        name: "1".to_owned(),
        output_micros: 300,
        quality: Some(0.9),
        slots: SLOTS,
        warm_after: 1,
    };
    Model {
        name: name.to_owned(),
        versions: vec![version],
    }
}

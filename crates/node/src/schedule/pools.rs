//! Backend servers grouped by what they run, indexed for placement.

use crate::fleet::{Kind, Server};
use contract::{BackendId, Map, ModelId, ServiceId, VersionId, ZoneId};
use policy::placement::{Pool, Settings};
use std::sync::Arc;

/// One pool of backend servers per model version and per plain service.
#[derive(Debug, Default)]
pub struct Pools {
    servers: Arc<Vec<Server>>,
    versions: Map<ModelId, Map<VersionId, Pool>>,
    services: Map<ServiceId, Pool>,
}

type Members = Vec<(BackendId, ZoneId)>;

impl Pools {
    /// Indexes a list of backend servers.
    ///
    /// ```
    /// use node::schedule::Pools;
    /// let pools = Pools::new(&policy::placement::Settings::default(), Default::default());
    /// assert!(pools.version("small", "1").is_none());
    /// ```
    pub fn new(settings: &Settings, servers: Arc<Vec<Server>>) -> Self {
        let mut versions: Map<ModelId, Map<VersionId, Members>> = Map::default();
        let mut services: Map<ServiceId, Members> = Map::default();
        for server in servers.iter() {
            let member = (server.id.clone(), server.zone.clone());
            match &server.kind {
                Kind::Engine { model, version } => versions
                    .entry(model.clone())
                    .or_default()
                    .entry(version.clone())
                    .or_default()
                    .push(member),
                Kind::Service(name) => services.entry(name.clone()).or_default().push(member),
            }
        }
        let pool = |members| Pool::new(settings.clone(), members);
        Self {
            versions: versions
                .into_iter()
                .map(|(model, versions)| (model, build(versions, pool)))
                .collect(),
            services: build(services, pool),
            servers,
        }
    }

    /// Whether the pools were built from this very list.
    pub fn is_built_from(&self, servers: &Arc<Vec<Server>>) -> bool {
        Arc::ptr_eq(&self.servers, servers)
    }

    /// Pool of a model version.
    pub fn version(&self, model: &str, version: &str) -> Option<&Pool> {
        self.versions.get(model)?.get(version)
    }

    /// Pool of a plain service.
    pub fn service(&self, name: &str) -> Option<&Pool> {
        self.services.get(name)
    }
}

fn build(members: Map<String, Members>, pool: impl Fn(Members) -> Pool) -> Map<String, Pool> {
    members
        .into_iter()
        .map(|(name, members)| (name, pool(members)))
        .collect()
}

//! Backend servers by what they run, indexed for placement.

use crate::fleet::{Kind, Server};
use contract::{BackendId, Map, ModelId, ServiceId, VersionId, ZoneId};
use policy::placement::{Pool, Settings};
use std::sync::Arc;

/// One pool for each version and plain service of a list of backend servers.
#[derive(Debug, Default)]
pub struct Pools {
    list: Arc<Vec<Server>>,
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
    pub fn new(settings: &Settings, list: Arc<Vec<Server>>) -> Self {
        let mut versions: Map<ModelId, Map<VersionId, Members>> = Map::default();
        let mut services: Map<ServiceId, Members> = Map::default();
        for server in list.iter() {
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
                .map(|(model, versions)| (model, pooled(versions, pool)))
                .collect(),
            services: pooled(services, pool),
            list,
        }
    }

    /// Whether the pools are of this list.
    pub fn is_built_from(&self, list: &Arc<Vec<Server>>) -> bool {
        Arc::ptr_eq(&self.list, list)
    }

    /// Backend servers of a version.
    pub fn version(&self, model: &str, version: &str) -> Option<&Pool> {
        self.versions.get(model)?.get(version)
    }

    /// Backend servers of a plain service.
    pub fn service(&self, name: &str) -> Option<&Pool> {
        self.services.get(name)
    }
}

fn pooled(members: Map<String, Members>, pool: impl Fn(Members) -> Pool) -> Map<String, Pool> {
    members
        .into_iter()
        .map(|(name, members)| (name, pool(members)))
        .collect()
}

//! One reading of the list of VMs, with its backend servers found by name.

use crate::fleet::{Kind, Server};
use contract::{BackendId, Map};
use std::sync::Arc;

/// Backend servers, found by address and by what they run.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// All backend servers.
    pub servers: Arc<Vec<Server>>,
    by_id: Map<BackendId, usize>,
    by_version: Map<String, Vec<usize>>,
}

impl Listing {
    /// Indexes backend servers.
    ///
    /// ```
    /// use node::fleet::{Kind, Listing, Server};
    /// let server = Server {
    ///     id: "127.0.0.1:1".into(),
    ///     zone: "a".into(),
    ///     kind: Kind::Engine { model: "small".into(), version: "1".into() },
    ///     leaving: false,
    /// };
    /// let listing = Listing::new(vec![server]);
    /// assert!(listing.get("127.0.0.1:1").is_some());
    /// assert_eq!(listing.with_version("small@1").count(), 1);
    /// ```
    pub fn new(servers: Vec<Server>) -> Self {
        let mut listing = Self::default();
        for (index, server) in servers.iter().enumerate() {
            listing.by_id.insert(server.id.clone(), index);
            if let Kind::Engine { model, version } = &server.kind {
                let pool = listing.by_version.entry(format!("{model}@{version}"));
                pool.or_default().push(index);
            }
        }
        listing.servers = Arc::new(servers);
        listing
    }

    /// The backend server of an address.
    pub fn get(&self, id: &str) -> Option<&Server> {
        self.servers.get(*self.by_id.get(id)?)
    }

    /// Backend servers that run a version, by the name under which it is served.
    pub fn with_version(&self, served: &str) -> impl Iterator<Item = &Server> {
        let pool = self.by_version.get(served);
        pool.into_iter()
            .flatten()
            .filter_map(|index| self.servers.get(*index))
    }
}

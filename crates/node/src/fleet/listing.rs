//! Index of the backend servers on one VM list.

use crate::fleet::{Kind, Server};
use contract::{BackendId, Map};
use std::sync::Arc;

/// Backend servers, indexed by address and by model version.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// All backend servers, in the order of the VM list.
    pub servers: Arc<Vec<Server>>,
    by_id: Map<BackendId, usize>,
    by_version: Map<String, Vec<usize>>,
}

impl Listing {
    /// Builds the index of backend servers.
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

    /// Returns the backend server with an address.
    pub fn get(&self, id: &str) -> Option<&Server> {
        self.servers.get(*self.by_id.get(id)?)
    }

    /// Returns the backend servers that run a version, given as `model@version`.
    pub fn with_version(&self, served: &str) -> impl Iterator<Item = &Server> {
        let pool = self.by_version.get(served);
        pool.into_iter()
            .flatten()
            .filter_map(|index| self.servers.get(*index))
    }
}

//! The list of backend servers, read from the platform again and again.

use crate::fleet::{Kind, Listing, Server};
use clients::vms::{self, State, Vm};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

/// Backend servers as last listed. A list that can't be read leaves the one before it in force.
#[derive(Debug, Default)]
pub struct Fleet {
    listing: RwLock<Arc<Listing>>,
    loaded: AtomicBool,
}

impl Fleet {
    /// Backend servers as last listed.
    ///
    /// ```
    /// assert!(node::fleet::Fleet::default().servers().is_empty());
    /// ```
    pub fn servers(&self) -> Arc<Vec<Server>> {
        Arc::clone(&self.listing().servers)
    }

    /// The list as last read.
    pub fn listing(&self) -> Arc<Listing> {
        let listing = self.listing.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&listing)
    }

    /// Whether a list was ever read.
    pub fn is_loaded(&self) -> bool {
        self.loaded.load(Ordering::Acquire)
    }

    /// Puts a new list in force. One that says the same leaves all that was built on the old one.
    pub fn replace(&self, servers: Vec<Server>) {
        if *self.listing().servers != servers {
            let fresh = Arc::new(Listing::new(servers));
            *self.listing.write().unwrap_or_else(PoisonError::into_inner) = fresh;
        }
        self.loaded.store(true, Ordering::Release);
    }

    /// Reads the list at an interval, for as long as the node runs.
    pub async fn run(&self, client: &vms::Client, interval: Duration) {
        let mut ticks = tokio::time::interval(interval);
        loop {
            ticks.tick().await;
            match client.list().await {
                Ok(vms) => self.replace(vms.into_iter().filter_map(to_server).collect()),
                Err(error) => log::warn!(event = 1301; "VM list can't be read: {error}"),
            }
        }
    }
}

fn to_server(vm: Vm) -> Option<Server> {
    let kind = match vm.kind {
        vms::Kind::Engine => Kind::Engine {
            model: vm.model?,
            version: vm.version?,
        },
        vms::Kind::Service => Kind::Service(vm.service?),
        vms::Kind::Node => return None,
    };
    Some(Server {
        id: vm.address,
        zone: vm.zone,
        kind,
        leaving: vm.state == State::Stopping,
    })
}

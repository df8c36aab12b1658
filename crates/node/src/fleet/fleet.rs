//! The list of backend servers, polled from the platform.

use crate::fleet::{Kind, Listing, Server};
use clients::vms::{self, State, Vm};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

/// Backend servers on the latest VM list. After a failed read the previous list stays in use.
#[derive(Debug, Default)]
pub struct Fleet {
    listing: RwLock<Arc<Listing>>,
    loaded: AtomicBool,
}

impl Fleet {
    /// Returns the backend servers on the latest VM list.
    ///
    /// ```
    /// assert!(node::fleet::Fleet::default().servers().is_empty());
    /// ```
    pub fn servers(&self) -> Arc<Vec<Server>> {
        Arc::clone(&self.listing().servers)
    }

    /// Returns the index of the latest VM list.
    pub fn listing(&self) -> Arc<Listing> {
        let listing = self.listing.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&listing)
    }

    /// Returns whether a VM list has been read.
    pub fn is_loaded(&self) -> bool {
        self.loaded.load(Ordering::Acquire)
    }

    /// Replaces the list. An equal list keeps the current `Arc`, so that data derived from it stays
    /// valid.
    pub fn replace(&self, servers: Vec<Server>) {
        if *self.listing().servers != servers {
            let fresh = Arc::new(Listing::new(servers));
            *self.listing.write().unwrap_or_else(PoisonError::into_inner) = fresh;
        }
        self.loaded.store(true, Ordering::Release);
    }

    /// Polls the VM list until the node stops.
    pub async fn run(&self, client: &vms::Client, interval: Duration) {
        let mut ticks = tokio::time::interval(interval);
        loop {
            ticks.tick().await;
            match client.list().await {
                Ok(vms) => self.replace(vms.into_iter().filter_map(to_server).collect()),
                Err(error) => log::warn!(event = 1301; "failed to read the VM list: {error}"),
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

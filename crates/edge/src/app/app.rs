//! The shared parts.

use super::State;
use crate::stop::Inside;
use platform::store;
use route::Version;
use route::member::Member;
use route::site::Site;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{Notify, broadcast};

/// Stays that wait for a link; one that is further behind is told all of them.
const MAX_STAYS: usize = 1024;

/// A session and the version that it is on.
pub type Stay = (String, Version);

/// What the parts of a node share. The state is the only lock; it is never held over an await.
#[derive(Debug)]
pub struct App {
    /// Where the node runs.
    pub site: Site,
    /// The platform's store.
    pub store: store::Client,
    /// Wakes requests that wait for a backend server: one has room, or the list changed.
    pub room: Notify,
    /// Wakes the links: something has to be told at once.
    pub news: Notify,
    /// Versions that sessions are on, for the links.
    pub sessions: broadcast::Sender<Stay>,
    /// Requests that the node is working on.
    pub inside: Arc<Inside>,
    state: Mutex<State>,
}

impl App {
    /// The parts of a node that knows nothing yet.
    pub fn new(site: Site) -> Result<Self, platform::Error> {
        Ok(Self {
            store: store::Client::new(site.store)?,
            room: Notify::new(),
            news: Notify::new(),
            sessions: broadcast::Sender::new(MAX_STAYS),
            inside: Arc::default(),
            state: Mutex::new(State::new(&site)),
            site,
        })
    }

    /// The state.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// This node, as other nodes know it.
    pub fn member(&self) -> Member {
        Member {
            node: self.site.node.clone(),
            zone: self.site.zone.clone(),
            requests: self.site.requests,
            link: std::net::SocketAddrV4::new(self.site.ip, self.site.link_ports.0),
        }
    }
}

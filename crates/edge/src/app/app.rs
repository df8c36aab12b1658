//! The shared parts.

use super::State;
use crate::inflight;
use crate::link::Round;
use crate::metrics::Metrics;
use limits::suspect::Fingerprint;
use platform::store;
use route::member::Member;
use route::site::Site;
use route::{NodeName, ServerId, Version};
use settings::log::Counts;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::sync::{Notify, broadcast};

/// Rounds of beats that wait for a link; one that is further behind goes on with the newest.
const MAX_ROUNDS: usize = 16;
/// Announcements that wait for a link; one that is further behind is told all that is known.
const MAX_ANNOUNCEMENTS: usize = 4096;

/// A session and the version that it is on.
pub type Stay = (String, Version);
/// A request, by its fingerprint, and a backend server that ended under it.
pub type Crash = (Fingerprint, ServerId);

/// A notice that all nodes are to get once, on its way.
#[derive(Clone, Debug)]
pub struct Announcement {
    /// The node that it came from over a link; none when it is this one's.
    pub from: Option<NodeName>,
    /// The notice.
    pub notice: Notice,
}

/// A notice for all nodes.
#[derive(Clone, Debug)]
pub enum Notice {
    /// A session is on a version.
    Stay(Stay),
    /// A backend server ended under a request.
    Crash(Crash),
}

/// What the parts of a node share. The state is the only lock; it is never held over an await.
#[derive(Debug)]
pub struct App {
    /// Where the node runs.
    pub site: Site,
    /// When the process started.
    pub started: Instant,
    /// The platform's store.
    pub store: store::Client,
    /// Wakes requests that wait for a backend server: one has room, or the list changed.
    pub room: Notify,
    /// Wakes those who wait to ask a store that didn't answer: it answers again.
    pub store_back: Notify,
    /// Wakes the links: something has to be told at once.
    pub news: Notify,
    /// Wakes the links: there are announcements.
    pub announced: Notify,
    /// Beats for the links.
    pub rounds: broadcast::Sender<Arc<Round>>,
    /// What the links are to tell.
    pub announcements: broadcast::Sender<Announcement>,
    /// Requests that the node is working on.
    pub inside: Arc<inflight::Counter>,
    /// Counters and latencies.
    pub metrics: Metrics,
    /// Counts of the log lines that were not written.
    pub lines: Counts,
    state: Mutex<State>,
}

impl App {
    /// The parts of a node that knows nothing yet.
    pub fn new(site: Site, lines: Counts) -> Result<Self, platform::Error> {
        Ok(Self {
            store: store::Client::new(site.store)?,
            room: Notify::new(),
            store_back: Notify::new(),
            news: Notify::new(),
            announced: Notify::new(),
            rounds: broadcast::Sender::new(MAX_ROUNDS),
            announcements: broadcast::Sender::new(MAX_ANNOUNCEMENTS),
            inside: Arc::default(),
            metrics: Metrics::default(),
            lines,
            state: Mutex::new(State::new(&site)),
            started: Instant::now(),
            site,
        })
    }

    /// The state.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Announces a notice of this node to the others.
    pub fn announce(&self, notice: Notice) {
        self.pass_on(Announcement { from: None, notice });
    }

    /// Passes an announcement on over the links.
    pub fn pass_on(&self, announcement: Announcement) {
        // An error says that there are no links: then there is nobody to tell.
        let _ = self.announcements.send(announcement);
        self.announced.notify_one();
    }

    /// This node, as other nodes know it.
    pub fn member(&self) -> Member {
        Member {
            node: self.site.node.clone(),
            zone: self.site.zone.clone(),
            requests: self.site.requests,
            link: self.site.link,
            capacity: self.site.capacity(),
        }
    }
}

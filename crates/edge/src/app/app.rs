//! The state and the services that all tasks of a node share.

use super::State;
use crate::inflight;
use crate::link::Batch;
use crate::memory;
use crate::metrics::{self, Metrics};
use limits::poison::{Block, Part, RequestTag};
use limits::retry::Purpose;
use limits::suspect::Fingerprint;
use platform::store;
use route::member::Member;
use route::pool::Naming;
use route::site::Site;
use route::{NodeName, ServerId, Version};
use settings::log::Drops;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::sync::{Notify, broadcast};

/// Batches of frames queued for a link; a link that falls further behind skips to the latest ones.
const MAX_BATCHES: usize = 16;
/// Announcements queued for a link; a link that falls further behind sends all that is known
/// instead.
const MAX_ANNOUNCEMENTS: usize = 4096;

/// Fraction of the memory of a process that bodies may occupy. The rest is left to its state, the
/// buffers of its connections and the allocator.
const BODY_MEMORY_RATIO: f64 = 0.5;

/// A session and the version it is assigned to.
pub type Assignment = (String, Version);
/// Fingerprint of a request, and a backend server that crashed while running it.
pub type Crash = (Fingerprint, ServerId);

/// A notice on its way to all nodes, each of which gets it once.
#[derive(Clone, Debug)]
pub struct Announcement {
    /// The node that sent it over a link; none when it originates here.
    pub from: Option<NodeName>,
    /// The notice.
    pub notice: Notice,
}

/// A notice for all nodes.
#[derive(Clone, Debug)]
pub enum Notice {
    /// A session is assigned to a version.
    Assignment(Assignment),
    /// A backend server crashed while running a request.
    Crash(Crash),
    /// A start of a backend server has said that it is leaving.
    Departure(ServerId, u64),
    /// A backend server names a limit on the requests of all nodes, or no longer does.
    Naming(Naming),
    /// A backend server crashed before the answer to a request with these parts began.
    PartCrash(Vec<Part>, RequestTag, ServerId),
    /// Requests with certain parts are blocked because they crash backend servers.
    PartBlock(Block),
    /// The answer to a request with a part has begun, so the part is sound.
    PartAnswer(Part),
}

/// The state and the services that all tasks of a node share. The state is behind the only lock,
/// which is never held across an await.
#[derive(Debug)]
pub struct App {
    /// Settings of the node.
    pub site: Site,
    /// When the process started.
    pub started: Instant,
    /// Client of the platform's store.
    pub store: store::Client,
    /// Wakes requests that wait for a backend server: one has free capacity, or the list has
    /// changed.
    pub capacity_changed: Notify,
    /// Wakes tasks that back off from the store: it answers again.
    pub store_recovered: Notify,
    /// Requests a heartbeat before the next one is due.
    pub heartbeat_requested: Notify,
    /// Signals that the grace period is over: requests without an answer get one now.
    pub grace_over: Notify,
    /// Requests a probe of the direct path to backend servers.
    pub probe_requested: Notify,
    /// Signals that the direct path to backend servers was found lost.
    pub path_lost: Notify,
    /// Signals that announcements are queued for the links.
    pub announcement_queued: Notify,
    /// Batches of frames for all links.
    pub batches: broadcast::Sender<Arc<Batch>>,
    /// Announcements for all links.
    pub announcements: broadcast::Sender<Announcement>,
    /// Requests in progress.
    pub in_flight: Arc<inflight::Counter>,
    /// Connections that have carried a request, until all of their responses are written.
    pub connections: Arc<inflight::Counter>,
    /// Tunnels of other nodes that this node serves.
    pub tunnels: Arc<inflight::Counter>,
    /// Memory for bodies of requests and responses.
    pub memory: Arc<memory::Budget>,
    /// Counters and latencies.
    pub metrics: Metrics,
    /// Counts of dropped log lines.
    pub log_counts: Drops,
    state: Mutex<State>,
}

impl App {
    /// Creates the shared state of a node that has learned nothing yet.
    pub fn new(site: Site, log_counts: Drops) -> Result<Self, platform::Error> {
        Ok(Self {
            store: store::Client::new(site.store_address, &store::Settings::default())?,
            capacity_changed: Notify::new(),
            store_recovered: Notify::new(),
            heartbeat_requested: Notify::new(),
            grace_over: Notify::new(),
            probe_requested: Notify::new(),
            path_lost: Notify::new(),
            announcement_queued: Notify::new(),
            batches: broadcast::Sender::new(MAX_BATCHES),
            announcements: broadcast::Sender::new(MAX_ANNOUNCEMENTS),
            in_flight: Arc::default(),
            connections: Arc::default(),
            tunnels: Arc::default(),
            memory: memory::Budget::new((site.memory_bytes as f64 * BODY_MEMORY_RATIO) as usize),
            metrics: Metrics::default(),
            log_counts,
            state: Mutex::new(State::new(&site)),
            started: Instant::now(),
            site,
        })
    }

    /// Takes a further send of a request from the retry budget of its service; returns whether it is
    /// allowed.
    pub fn take_retry(&self, service: &str, purpose: Purpose) -> bool {
        let granted = self.state().take_retry(Instant::now(), service, purpose);
        self.count_retry(purpose, granted);
        granted
    }

    /// Returns a further send to the retry budget that no backend server has received.
    pub fn return_retry(&self, service: &str) {
        self.state().return_retry(service);
    }

    /// Counts a further send that the retry budget was asked for.
    pub fn count_retry(&self, purpose: Purpose, granted: bool) {
        let label = metrics::Retry {
            purpose: purpose.name(),
            outcome: if granted { "granted" } else { "denied" },
        };
        self.metrics.retries.get_or_create(&label).inc();
    }

    /// Locks the state.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a notice of this node to all other nodes.
    pub fn announce(&self, notice: Notice) {
        self.publish(Announcement { from: None, notice });
    }

    /// Queues an announcement for all links.
    pub fn publish(&self, announcement: Announcement) {
        // Sending fails only when there are no links.
        let _ = self.announcements.send(announcement);
        self.announcement_queued.notify_one();
    }

    /// Describes this node to other nodes.
    pub fn member(&self) -> Member {
        Member {
            node: self.site.node.clone(),
            zone: self.site.zone.clone(),
            http_address: self.site.http_address,
            link_address: self.site.link_address,
            capacity: self.site.capacity(),
        }
    }
}

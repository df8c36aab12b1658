//! State of a running node, shared by its HTTP handlers and background tasks.

use crate::Error;
use crate::app::{Admission, Breakers, Components, Keys, Tracker};
use crate::bill::Bills;
use crate::dispatch::Signer;
use crate::fleet::{Fleet, Server};
use crate::link::Hub;
use crate::metrics::{Counter, Metrics};
use crate::record::Claims;
use crate::schedule::{Budgets, Scheduler};
use crate::slot::Slots;
use crate::sync::Replica;
use backend::Pool;
use clients::table;
use contract::{Config, CustomerId, Incarnation};
use ledger::bill::Bill;
use limits::suspect::{self, Suspects, Verdict};
use settings::Keyring;
use settings::node::Settings;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use view::State;
use wire::Frame;

/// State and clients of a node that all requests share.
pub struct App {
    /// Settings of this node.
    pub settings: Settings,
    /// Number that identifies this start of the node; a later start has a higher one.
    pub incarnation: Incarnation,
    /// Backend servers as listed by the VM service.
    pub fleet: Fleet,
    /// Connection pool for backend servers.
    pub pool: Pool,
    /// Slots at backend servers that are granted to this node.
    pub slots: Arc<Slots>,
    /// Records of calls that must not run twice.
    pub claims: Arc<Claims<table::Client>>,
    /// Bills that are waiting to be written to the table.
    pub bills: Arc<Bills<table::Client>>,
    /// Keys that sign session tokens.
    pub session_keys: Keyring,
    /// Keys that authenticate the links between nodes.
    pub link_keys: Keyring,
    /// Circuit breakers of the backend servers that have failed at this node.
    pub breakers: Breakers,
    /// Signs and verifies session tokens.
    pub signer: Signer,
    /// Replica of the configuration and of the member list.
    pub replica: Arc<Replica<table::Client>>,
    /// Links to other nodes.
    pub hub: Arc<Hub>,
    /// Selects models and backend servers, and collects the measurements this is based on.
    pub scheduler: Arc<Scheduler>,
    /// This node's shares of customers' budgets.
    pub budgets: Budgets<table::Client>,
    /// Statsd client.
    pub metrics: Metrics,
    suspects: Mutex<Suspects>,
    tracker: Arc<Tracker>,
    keys: Keys,
    request_count: AtomicU64,
    leaving: AtomicBool,
}

impl App {
    /// Creates the state of a starting node.
    pub fn new(settings: Settings, components: Components) -> Self {
        let limits = backend::Settings {
            connect_timeout: settings.connect_timeout,
            progress_timeout: settings.progress_timeout,
            ..backend::Settings::default()
        };
        let session_keys = Keyring::new(settings.session_key.clone());
        Self {
            signer: Signer::new(session_keys.clone()),
            session_keys,
            link_keys: components.hub.keys(),
            metrics: Metrics::start(&settings),
            settings,
            incarnation: components.replica.incarnation(),
            replica: components.replica,
            hub: components.hub,
            scheduler: components.scheduler,
            budgets: components.budgets,
            breakers: Breakers::default(),
            fleet: Fleet::default(),
            pool: Pool::new(limits),
            slots: components.slots,
            claims: components.claims,
            bills: components.bills,
            suspects: Mutex::new(Suspects::new(suspect::Settings::default())),
            tracker: Arc::default(),
            keys: Keys::default(),
            request_count: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
        }
    }

    /// Returns the configuration that this node has applied.
    pub fn config(&self) -> Arc<Config> {
        self.replica.config()
    }

    /// Whether the node has loaded the configuration and the list of backend servers.
    pub fn ready(&self) -> bool {
        self.fleet.is_loaded() && self.config().revision() > 0
    }

    /// Returns the customer of a bearer key.
    pub fn customer_by_key(&self, key: &str) -> Option<CustomerId> {
        self.keys.customer(&self.config(), key)
    }

    /// Admits a request, unless the node is stopping or at its limit of concurrent requests.
    pub fn admit(&self) -> Result<Admission, Error> {
        Tracker::admit(&self.tracker, self.settings.max_streams)
    }

    /// Returns the tracker of requests in flight.
    pub fn tracker(&self) -> &Tracker {
        &self.tracker
    }

    /// Returns a new request id, unique across nodes and restarts.
    pub fn next_request_id(&self) -> String {
        let count = self.request_count.fetch_add(1, Ordering::Relaxed);
        format!("{}-{}-{count}", self.settings.node, self.incarnation)
    }

    /// Returns the HTTP addresses of live nodes: nodes in `zone` come first, and this node comes
    /// first in its group. `zone` defaults to the zone of this node.
    pub fn entries(&self, zone: Option<&str>) -> Vec<String> {
        let preferred_zone = zone.unwrap_or(&self.settings.zone);
        let is_available = self.ready() && !self.is_leaving();
        let mut members = self.replica.members(Instant::now());
        members.retain(|member| member.state == State::Live);
        members.retain(|member| is_available || member.node != self.settings.node);
        members.sort_by_key(|member| {
            (
                member.zone != preferred_zone,
                member.node != self.settings.node,
            )
        });
        members.into_iter().map(|member| member.http).collect()
    }

    /// Whether the node is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Announces that the node is leaving, so that no node lists it in `/v1/entries` any more. If
    /// the table can't be written, the links still tell the peers.
    pub async fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
        if let Err(error) = self.replica.announce_leaving().await {
            log::warn!(event = 1212; "leaving was not recorded in the change log: {error}");
        }
    }

    /// Returns slots, writes outstanding records to the table and leaves the member list. Called
    /// when all requests have finished or the drain time has passed.
    pub async fn close(&self) {
        let deadline = Instant::now() + self.settings.drain;
        self.slots.close();
        let claims = self.claims.flush_all(deadline.into()).await;
        let bills = self.bills.flush_all(deadline.into()).await;
        if claims + bills > 0 {
            log::error!(event = 1006, claims, bills; "stopping while the table lacks records");
        }
        if let Err(error) = self.replica.deregister().await {
            log::warn!(event = 1213; "this node remains a member until a peer removes it: {error}");
        }
    }

    /// Whether a backend server accepts new work: it is not leaving, and its zone is not out.
    pub fn accepts_new_work(&self, config: &Config, server: &Server) -> bool {
        !server.leaving && !config.is_zone_out(&server.zone)
    }

    /// Returns the number of nodes that share the limits of the fleet, at least 1.
    pub fn node_count(&self) -> u32 {
        self.config().members().count().max(1) as u32
    }

    /// Returns whether the request with this fingerprint may run, given the crashes attributed to
    /// it.
    pub fn verdict(&self, fingerprint: &str) -> Verdict {
        self.suspects().verdict(Instant::now(), fingerprint)
    }

    /// Records that a backend server crashed while it ran a request, and notifies the peers.
    pub fn report_crash(&self, fingerprint: &str, backend: &str) {
        let now = Instant::now();
        if !self
            .suspects()
            .record_crash(now, fingerprint, backend, Duration::ZERO)
        {
            return;
        }
        log::warn!(event = 1302, backend; "connection broke while a request was running");
        self.hub.broadcast(&Frame::Suspect(wire::Suspect {
            fingerprint: fingerprint.to_owned(),
            backend: backend.to_owned(),
            age_ms: 0,
        }));
    }

    /// Records a crash of a backend server that a peer has reported.
    pub fn record_peer_crash(&self, suspect: &wire::Suspect) {
        let age = Duration::from_millis(suspect.age_ms);
        self.suspects()
            .record_crash(Instant::now(), &suspect.fingerprint, &suspect.backend, age);
    }

    /// Records a bill in the metrics and the log.
    pub fn record_bill(&self, bill: &Bill) {
        let version = [("model", bill.model.as_str()), ("version", &bill.version)];
        self.metrics.count(Counter::Answers, 1, &version);
        self.metrics
            .count(Counter::OutputTokens, bill.output_tokens, &version);
        let customer = [("customer", bill.customer.as_str())];
        self.metrics
            .count(Counter::CostMicros, bill.micros, &customer);
        log::info!(
            event = 1101,
            request = bill.request_id.as_str(),
            customer = bill.customer.as_str(),
            model = bill.model.as_str(),
            version = bill.version.as_str(),
            micros = bill.micros;
            "request billed"
        );
    }

    fn suspects(&self) -> MutexGuard<'_, Suspects> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

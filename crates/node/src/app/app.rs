//! What a node holds while it runs.

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
use settings::Ring;
use settings::node::Settings;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use view::State;
use wire::Frame;

/// Tables and clients that requests share.
pub struct App {
    /// Settings of this node.
    pub settings: Settings,
    /// Number of this start.
    pub incarnation: Incarnation,
    /// Backend servers.
    pub fleet: Fleet,
    /// Connections to backend servers.
    pub pool: Pool,
    /// What this node may send to backend servers.
    pub slots: Arc<Slots>,
    /// Records of calls that may not be repeated.
    pub claims: Arc<Claims<table::Client>>,
    /// Bills on their way to the table.
    pub bills: Arc<Bills<table::Client>>,
    /// Keys that sign session tokens.
    pub session_keys: Ring,
    /// Keys shared by nodes.
    pub link_keys: Ring,
    /// Backend servers that have failed here.
    pub breakers: Breakers,
    /// Session tokens.
    pub signer: Signer,
    /// The configuration and the members.
    pub replica: Arc<Replica<table::Client>>,
    /// Links to other nodes.
    pub hub: Arc<Hub>,
    /// Plans, placement and what they learn from.
    pub scheduler: Arc<Scheduler>,
    /// Shares of customers' budgets.
    pub budgets: Budgets<table::Client>,
    /// Where metrics are sent.
    pub metrics: Metrics,
    suspects: Mutex<Suspects>,
    tracker: Arc<Tracker>,
    keys: Keys,
    request_count: AtomicU64,
    leaving: AtomicBool,
}

impl App {
    /// Puts the parts of a node that is starting together.
    pub fn new(settings: Settings, components: Components) -> Self {
        let limits = backend::Settings {
            connect_timeout: settings.connect_timeout,
            progress_timeout: settings.progress_timeout,
            ..backend::Settings::default()
        };
        let session_keys = Ring::new(settings.session_key.clone());
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

    /// The configuration in force here.
    pub fn config(&self) -> Arc<Config> {
        self.replica.config()
    }

    /// Whether the node knows the configuration and the backend servers.
    pub fn ready(&self) -> bool {
        self.fleet.is_loaded() && self.config().revision() > 0
    }

    /// Customer of a bearer key.
    pub fn customer_by_key(&self, key: &str) -> Option<CustomerId> {
        self.keys.customer(&self.config(), key)
    }

    /// Lets a request in, unless the node is stopping or full.
    pub fn admit(&self) -> Result<Admission, Error> {
        Tracker::admit(&self.tracker, self.settings.max_streams)
    }

    /// Tracks the requests in flight.
    pub fn tracker(&self) -> &Tracker {
        &self.tracker
    }

    /// A name that no other request has.
    pub fn next_request_id(&self) -> String {
        let count = self.request_count.fetch_add(1, Ordering::Relaxed);
        format!("{}-{}-{count}", self.settings.node, self.incarnation)
    }

    /// Addresses for callers, nearest first.
    pub fn entries(&self, zone: Option<&str>) -> Vec<String> {
        let near = zone.unwrap_or(&self.settings.zone);
        let serves = self.ready() && !self.leaving.load(Ordering::SeqCst);
        let mut members = self.replica.members(Instant::now());
        members.retain(|one| one.state == State::Live);
        members.retain(|one| serves || one.node != self.settings.node);
        members.sort_by_key(|one| (one.zone != near, one.node != self.settings.node));
        members.into_iter().map(|one| one.http).collect()
    }

    /// Takes the node out of every answer to callers.
    pub async fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
        if let Err(error) = self.replica.announce_leaving().await {
            log::warn!(event = 1212; "peers are not told by the log that this node leaves: {error}");
        }
    }

    /// Hands over what the node still holds, once its work has ended.
    pub async fn close(&self) {
        let deadline = Instant::now() + self.settings.drain;
        self.slots.close();
        let claims = self.claims.flush_all(deadline.into()).await;
        let bills = self.bills.flush_all(deadline.into()).await;
        if claims + bills > 0 {
            log::error!(event = 1006, claims, bills; "the table lacks records of this node");
        }
        if let Err(error) = self.replica.deregister().await {
            log::warn!(event = 1213; "this node stays a member until others remove it: {error}");
        }
    }

    /// Whether a backend server may receive new work: it stays, and its zone is in.
    pub fn accepts_new_work(&self, config: &Config, server: &Server) -> bool {
        !server.leaving && !config.zone_out(&server.zone)
    }

    /// Nodes that share the fleet's limits.
    pub fn node_count(&self) -> u32 {
        self.config().members().count().max(1) as u32
    }

    /// What may be done with a request, by its fingerprint.
    pub fn verdict(&self, fingerprint: &str) -> Verdict {
        self.suspects().verdict(Instant::now(), fingerprint)
    }

    /// Counts a backend server that died under a request, and tells the peers.
    pub fn report_crash(&self, fingerprint: &str, backend: &str) {
        let now = Instant::now();
        if !self
            .suspects()
            .record_crash(now, fingerprint, backend, Duration::ZERO)
        {
            return;
        }
        log::warn!(event = 1302, backend; "connection broke under a request");
        self.hub.broadcast(&Frame::Suspect(wire::Suspect {
            fingerprint: fingerprint.to_owned(),
            backend: backend.to_owned(),
            age_ms: 0,
        }));
    }

    /// Takes in a peer's word that a backend server died under a request.
    pub fn record_peer_crash(&self, suspect: &wire::Suspect) {
        let age = Duration::from_millis(suspect.age_ms);
        self.suspects()
            .record_crash(Instant::now(), &suspect.fingerprint, &suspect.backend, age);
    }

    /// Counts a bill in the metrics and the log.
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

//! What a node holds while it runs.

use crate::Error;
use crate::app::{Gate, Keys, Stay};
use crate::dispatch::{Load, Receipt, Signer};
use crate::fleet::Fleet;
use crate::sync::Replica;
use backend::{Pool, Usage};
use contract::{Config, CustomerId, Incarnation};
use platform::table;
use settings::Ring;
use settings::node::Settings;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Instant;
use view::State;

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
    /// Own requests in flight.
    pub load: Arc<Load>,
    /// Keys that sign session tokens.
    pub session_keys: Ring,
    /// Keys shared by nodes.
    pub link_keys: Ring,
    /// Session tokens.
    pub signer: Signer,
    /// The configuration and the members.
    pub replica: Arc<Replica<table::Client>>,
    gate: Arc<Gate>,
    keys: Keys,
    requests: AtomicU64,
    leaving: AtomicBool,
}

impl App {
    /// Builds the tables of a node that is starting.
    pub fn new(settings: Settings, replica: Arc<Replica<table::Client>>) -> Self {
        let limits = backend::Settings {
            connect_timeout: settings.connect_timeout,
            progress_timeout: settings.progress_timeout,
            ..backend::Settings::default()
        };
        let session_keys = Ring::new(settings.session_key.clone());
        Self {
            signer: Signer::new(session_keys.clone()),
            session_keys,
            link_keys: Ring::new(settings.link_key.clone()),
            incarnation: replica.incarnation(),
            settings,
            replica,
            fleet: Fleet::default(),
            pool: Pool::new(limits),
            load: Arc::default(),
            gate: Arc::default(),
            keys: Keys::default(),
            requests: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
        }
    }

    /// The configuration in force here.
    pub fn config(&self) -> Arc<Config> {
        self.replica.config()
    }

    /// Customer of a bearer key.
    pub fn customer_of(&self, key: &str) -> Option<CustomerId> {
        self.keys.customer(&self.config(), key)
    }

    /// Lets a request in, unless the node is stopping or full.
    pub fn enter(&self) -> Result<Stay, Error> {
        Gate::enter(&self.gate, self.settings.max_streams)
    }

    /// The gate that counts requests under way.
    pub fn gate(&self) -> &Gate {
        &self.gate
    }

    /// A name that no other request has.
    pub fn request_id(&self) -> String {
        let count = self.requests.fetch_add(1, Ordering::Relaxed);
        format!("{}-{}-{count}", self.settings.node, self.incarnation)
    }

    /// Addresses for callers, nearest first.
    pub fn entries(&self, zone: Option<&str>) -> Vec<String> {
        let near = zone.unwrap_or(&self.settings.zone);
        let leaving = self.leaving.load(Ordering::SeqCst);
        let mut members = self.replica.members(Instant::now());
        members.retain(|one| one.state == State::Live);
        members.retain(|one| !leaving || one.node != self.settings.node);
        members.sort_by_key(|one| (one.zone != near, one.node != self.settings.node));
        members.into_iter().map(|one| one.http).collect()
    }

    /// Takes the node out of every answer to callers.
    pub async fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Hands over what the node still holds, once its work has ended.
    pub async fn close(&self) {}

    /// Bills a request.
    pub fn bill(&self, customer: &str, receipt: &Receipt, usage: Usage) {
        log::info!(
            event = 1101,
            request = receipt.request_id.as_str(),
            customer,
            model = receipt.model.as_str(),
            version = receipt.version.as_str(),
            cost_micros = receipt.cost_micros,
            tokens = usage.completion_tokens;
            "request answered"
        );
    }
}

//! What a node holds while it runs.

use crate::Error;
use crate::app::{Gate, Keys, Stay};
use crate::dispatch::{Load, Receipt, Signer};
use crate::fleet::Fleet;
use backend::{Pool, Usage};
use contract::{Config, CustomerId, Incarnation};
use settings::node::Settings;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};

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
    /// Session tokens.
    pub signer: Signer,
    gate: Arc<Gate>,
    keys: Keys,
    config: RwLock<Arc<Config>>,
    requests: AtomicU64,
}

impl App {
    /// Builds the tables of a node that is starting.
    pub fn new(settings: Settings, incarnation: Incarnation) -> Self {
        let limits = backend::Settings {
            connect_timeout: settings.connect_timeout,
            progress_timeout: settings.progress_timeout,
            ..backend::Settings::default()
        };
        Self {
            signer: Signer::new(settings.session_key.iter().map(settings::Secret::expose)),
            settings,
            incarnation,
            fleet: Fleet::default(),
            pool: Pool::new(limits),
            load: Arc::default(),
            gate: Arc::default(),
            keys: Keys::default(),
            config: RwLock::default(),
            requests: AtomicU64::new(0),
        }
    }

    /// The configuration in force here.
    pub fn config(&self) -> Arc<Config> {
        Arc::clone(&self.config.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Puts a configuration in force.
    pub fn publish(&self, config: Config) {
        *self.config.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(config);
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
        let config = self.config();
        let near = zone.unwrap_or(&self.settings.zone);
        let mut members: Vec<_> = config.members().filter(|one| !one.leaving).collect();
        members.sort_by_key(|one| (one.zone != near, one.node != self.settings.node));
        members.into_iter().map(|one| one.http.clone()).collect()
    }

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

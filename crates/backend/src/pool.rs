//! HTTP clients, one for each backend server, so that all connections to a server can be dropped
//! together.

use crate::Settings;
use rustc_hash::FxBuildHasher;
use std::collections::HashMap;
use std::sync::RwLock;

/// HTTP clients by the address of the backend server.
#[derive(Debug, Default)]
pub struct Pool {
    settings: Settings,
    clients: RwLock<HashMap<String, reqwest::Client, FxBuildHasher>>,
}

impl Pool {
    /// Creates an empty pool.
    ///
    /// ```
    /// let pool = backend::Pool::new(backend::Settings::default());
    /// pool.reset("127.0.0.1:9000");
    /// ```
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Timeouts and size limits.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Drops the connections to a backend server, so that the next call opens a new one.
    pub fn reset(&self, backend: &str) {
        self.clients
            .write()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
            .remove(backend);
    }

    /// Returns the client for a backend server and creates it if needed.
    pub(crate) fn client(&self, backend: &str) -> reqwest::Client {
        let existing = self
            .clients
            .read()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
            .get(backend)
            .cloned();
        if let Some(client) = existing {
            return client;
        }
        self.clients
            .write()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
            .entry(backend.to_owned())
            .or_insert_with(|| self.build())
            .clone()
    }

    fn build(&self) -> reqwest::Client {
        reqwest::Client::builder()
            .connect_timeout(self.settings.connect_timeout)
            .pool_idle_timeout(self.settings.idle_timeout)
            .pool_max_idle_per_host(self.settings.max_idle)
            .tcp_nodelay(true)
            .http1_only()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .build()
            .unwrap_or_default()
    }
}

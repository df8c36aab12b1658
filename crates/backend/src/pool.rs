//! One HTTP client for each backend server, so that its connections can be dropped together.

use crate::Settings;
use rustc_hash::FxBuildHasher;
use std::collections::HashMap;
use std::sync::RwLock;

/// HTTP clients by address of the backend server.
#[derive(Debug, Default)]
pub struct Pool {
    settings: Settings,
    clients: RwLock<HashMap<String, reqwest::Client, FxBuildHasher>>,
}

impl Pool {
    /// Makes an empty pool.
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

    /// Limits of the connections.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Forgets the connections to a backend server: the next call opens a new one.
    pub fn reset(&self, backend: &str) {
        self.clients
            .write()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
            .remove(backend);
    }

    /// Client for a backend server.
    pub(crate) fn client(&self, backend: &str) -> reqwest::Client {
        let known = self
            .clients
            .read()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
            .get(backend)
            .cloned();
        if let Some(client) = known {
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

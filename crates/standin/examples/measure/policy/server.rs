//! Backend servers of the model.

use super::request::Request;
use super::site::{Site, Version};
use std::collections::VecDeque;
use std::time::Duration;

/// Prompt prefixes that a backend server keeps.
const CACHED: usize = 4;

/// Share of a prompt that is the same for all requests of a customer's task.
const PREFIX: f64 = 0.9;

/// Slow-down by each further request in the batch.
const BATCHING: f64 = 0.05;

/// Completed requests after which a backend server is warm.
const WARM_AFTER: u32 = 4;

/// One backend server.
#[derive(Clone, Debug)]
pub struct Server {
    pub name: String,
    pub version: usize,
    pub zone: &'static str,
    pub running: u32,
    /// Requests at the last report.
    pub reported: u32,
    /// Requests of each node that began after the last report.
    pub unreported: Vec<u32>,
    pub out: bool,
    /// Requests that are still to complete before it is warm.
    pub cold: u32,
    cache: VecDeque<(usize, usize)>,
}

impl Server {
    /// Backend servers of a site, spread over its zones.
    pub fn all(site: &Site) -> Vec<Self> {
        let mut servers = Vec::new();
        for (version, spec) in site.versions.iter().enumerate() {
            for index in 0..spec.servers {
                let zone = site.zones[(index as usize + version) % site.zones.len()];
                servers.push(Self {
                    name: format!("{}-{index}", spec.served()),
                    version,
                    zone,
                    running: 0,
                    reported: 0,
                    unreported: vec![0; site.nodes],
                    out: false,
                    cold: 0,
                    cache: VecDeque::new(),
                });
            }
        }
        servers
    }

    /// Requests that it may run at once.
    pub fn slots(&self, version: &Version) -> u32 {
        if self.cold > 0 { 1 } else { version.slots }
    }

    /// Takes a request and returns the time it takes.
    pub fn start(&mut self, version: &Version, site: &Site, request: &Request) -> Duration {
        let task = &site.tasks[request.task];
        let hit = self.remember((request.customer, request.task));
        let fresh = if hit { 1.0 - PREFIX } else { 1.0 };
        let prompt = task.prompt as f64 * fresh * version.prompt_ms;
        let slowed = 1.0 + BATCHING * f64::from(self.running);
        let answer = request.tokens as f64 * version.token_ms * slowed;
        self.running += 1;
        Duration::from_secs_f64((prompt + answer) / 1_000.0)
    }

    pub fn finish(&mut self) {
        self.running -= 1;
        self.cold = self.cold.saturating_sub(1);
    }

    pub fn report(&mut self) {
        self.reported = self.running;
        self.unreported.fill(0);
    }

    /// Goes out, or comes back cold.
    pub fn turn(&mut self, out: bool) {
        if self.out && !out {
            self.cold = WARM_AFTER;
            self.cache.clear();
        }
        self.out = out;
    }

    fn remember(&mut self, prefix: (usize, usize)) -> bool {
        let found = self.cache.iter().position(|one| *one == prefix);
        if let Some(index) = found {
            self.cache.remove(index);
        }
        self.cache.push_back(prefix);
        if self.cache.len() > CACHED {
            self.cache.pop_front();
        }
        found.is_some()
    }
}

//! A fleet under load, and what its scenario expects of it.

use super::{Report, Tally};
use crate::Error;
use crate::fleet::{Fleet, Load, Mix, Settings, Watch};
use crate::history::{Outcome, Request};
use crate::serve::unix_ms;
use std::time::Duration;

/// Time in which backend servers become warm under load, as nodes see them.
const WARM_UP_MS: u64 = 2_500;

/// A fleet under load.
#[derive(Debug)]
pub struct Stage {
    /// The fleet.
    pub fleet: Fleet,
    load: Load,
    watch: Watch,
    failures: Vec<String>,
}

impl Stage {
    /// Starts a fleet with default settings, then load.
    pub async fn start(seed: u64, mix: &Mix) -> Result<Self, Error> {
        let settings = Settings {
            seed,
            ..Settings::default()
        };
        Self::with(settings, mix).await
    }

    /// Starts a fleet, then load.
    pub async fn with(settings: Settings, mix: &Mix) -> Result<Self, Error> {
        let fleet = Fleet::start(settings).await?;
        let watch = Watch::start(&fleet);
        let load = fleet.load(mix);
        let stage = Self {
            fleet,
            load,
            watch,
            failures: Vec::new(),
        };
        stage.run(WARM_UP_MS).await;
        Ok(stage)
    }

    /// Lets the load run for a while.
    pub async fn run(&self, millis: u64) {
        tokio::time::sleep(Duration::from_millis(millis)).await;
    }

    /// Index of a node drawn by the seed.
    pub fn drawn_node(&self) -> usize {
        self.fleet.settings.seed as usize % self.fleet.nodes.len()
    }

    /// Index of another node than this one.
    pub fn other_than(&self, node: usize) -> usize {
        (node + 1) % self.fleet.nodes.len()
    }

    /// Writes down what was expected and not seen.
    pub fn expect(&mut self, held: bool, what: impl FnOnce() -> String) {
        if !held {
            self.failures.push(what());
        }
    }

    /// Expects most requests sent from a moment on to be answered.
    pub fn expect_service_since(&mut self, from_ms: u64, share: f64) {
        let history = self.fleet.log.history();
        let later: Vec<&Request> = history
            .requests
            .iter()
            .filter(|one| one.sent_ms >= from_ms && !rightly_refused(one))
            .collect();
        let answered = later.iter().filter(|one| one.answered()).count();
        let sent = later.len();
        let enough = sent > 0 && answered as f64 >= share * sent as f64;
        self.expect(enough, || {
            format!("of {sent} requests in the last phase {answered} were answered")
        });
    }

    /// Runs a last phase in which the fleet must serve again.
    pub async fn expect_recovery(&mut self, millis: u64, share: f64) {
        let from_ms = unix_ms();
        self.run(millis).await;
        self.expect_service_since(from_ms, share);
    }

    /// Ends the load and checks all promises.
    pub async fn report(mut self, name: &str, seed: u64) -> Result<Report, Error> {
        self.load.finish().await;
        drop(self.watch);
        let history = self.fleet.finish().await;
        self.failures.extend(self.fleet.panics());
        Ok(Report {
            scenario: name.to_owned(),
            seed,
            tally: Tally::of(&history),
            violations: history.violations(),
            failures: self.failures,
            folder: self.fleet.folder().display().to_string(),
        })
    }
}

/// A session whose version is withdrawn has to be refused.
fn rightly_refused(request: &Request) -> bool {
    matches!(&request.outcome, Outcome::Refused { code, .. } if code == "version_withdrawn")
}

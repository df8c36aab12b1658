//! This node's replica of the configuration.

use super::log::Log;
use super::{Error, InForce, Settings};
use contract::{Config, Revision};
use platform::Table;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::sync::watch;
use wire::Delta;

/// This node's replica of the configuration, and the way to change it.
///
/// Locks: the configuration is published through the watch channel while `state` is held, never
/// the other way round.
#[derive(Debug)]
pub struct Replica<T> {
    pub(super) settings: Settings,
    pub(super) log: Log<T>,
    state: Mutex<Config>,
    config: watch::Sender<Arc<Config>>,
}

impl<T: Table> Replica<T> {
    /// Makes a replica that knows nothing yet.
    ///
    /// ```
    /// use node::sync::{Replica, Settings};
    /// let replica = Replica::new(Settings::default(), platform::table::Memory::default());
    /// assert_eq!(replica.config().revision(), 0);
    /// ```
    pub fn new(settings: Settings, table: T) -> Arc<Self> {
        Arc::new(Self {
            settings,
            log: Log { table },
            state: Mutex::default(),
            config: watch::Sender::default(),
        })
    }

    /// Keeps the replica up to date for as long as the node runs.
    pub async fn run(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(self.settings.poll);
        loop {
            ticks.tick().await;
            if let Err(error) = self.catch_up().await {
                log::warn!(event = 1202; "head can't be read: {error}");
            }
        }
    }

    /// The configuration in force here.
    ///
    /// ```
    /// # let replica = node::sync::Replica::new(Default::default(), platform::table::Memory::default());
    /// assert!(replica.config().members().next().is_none());
    /// ```
    pub fn config(&self) -> Arc<Config> {
        Arc::clone(&self.config.borrow())
    }

    /// Number of this start of the node.
    pub fn incarnation(&self) -> contract::Incarnation {
        self.settings.member.incarnation
    }

    /// Tells of each new configuration.
    ///
    /// ```
    /// # let replica = node::sync::Replica::new(Default::default(), platform::table::Memory::default());
    /// assert_eq!(replica.watch().borrow().revision(), 0);
    /// ```
    pub fn watch(&self) -> watch::Receiver<Arc<Config>> {
        self.config.subscribe()
    }

    /// Whether new work may start on the configuration in force here.
    pub fn may_start(&self, _now: Instant) -> Result<(), view::Stale> {
        Ok(())
    }

    /// How far a revision has come, as far as this node knows.
    pub fn in_force(&self, revision: Revision) -> InForce {
        InForce {
            accepted: revision <= self.config().revision(),
            outstanding: Vec::new(),
        }
    }

    /// Members with what this node knows of their life.
    pub fn members(&self, _now: Instant) -> Vec<view::Member> {
        let state = |leaving| match leaving {
            true => view::State::Leaving,
            false => view::State::Live,
        };
        let member = |one: &contract::Member| view::Member {
            node: one.node.clone(),
            incarnation: one.incarnation,
            zone: one.zone.clone(),
            http: one.http.clone(),
            link: one.link.clone(),
            state: state(one.leaving),
        };
        self.config().members().map(member).collect()
    }

    /// Reads the head and applies what is missing; gives the newest revision.
    pub(super) async fn catch_up(&self) -> Result<Revision, Error> {
        let head = self.log.head().await?;
        if self.config().revision() == 0 && head > 0 {
            let config = self.log.snapshot().await?;
            self.restore(config);
        }
        while self.config().revision() < head {
            let deltas = self.log.after(self.config().revision()).await?;
            if deltas.is_empty() {
                break;
            }
            for delta in &deltas {
                self.adopt(delta)?;
            }
        }
        Ok(self.config().revision())
    }

    /// Applies the next revision; older ones are ignored.
    pub(super) fn adopt(&self, delta: &Delta) -> Result<(), Error> {
        let mut state = self.lock();
        if delta.revision <= state.revision() {
            return Ok(());
        }
        let entries: Vec<_> = delta
            .entries
            .iter()
            .map(|entry| (entry.key.as_str(), entry.body.as_deref()))
            .collect();
        state.apply(delta.revision, &entries)?;
        log::info!(event = 1201; "revision {} in force", delta.revision);
        self.config.send_replace(Arc::new(state.clone()));
        Ok(())
    }

    fn restore(&self, config: Config) {
        let mut state = self.lock();
        if config.revision() <= state.revision() {
            return;
        }
        *state = config;
        self.config.send_replace(Arc::new(state.clone()));
    }

    fn lock(&self) -> MutexGuard<'_, Config> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

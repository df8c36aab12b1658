//! This node's replica of the configuration.

use super::log::Log;
use super::{Error, Progress, Settings};
use crate::link::Hub;
use clients::{Table, vms};
use contract::{Config, Incarnation, Revision};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::sync::watch;
use view::{Action, Pending, Stale, View};
use wire::{Delta, Entry};

/// This node's replica of the configuration, and the way to change it.
///
/// Locks, in their order: `view`, then the hub's table of links. Frames are queued while `view` is
/// held, so that they leave in the order in which the view made them.
#[derive(Debug)]
pub struct Replica<T> {
    pub(super) settings: Settings,
    pub(super) log: Log<T>,
    pub(super) hub: Arc<Hub>,
    pub(super) vms: Option<vms::Client>,
    pub(super) leaving: AtomicBool,
    pub(super) reads: AtomicU64,
    pub(super) writes: AtomicU64,
    view: Mutex<View>,
    config: watch::Sender<Arc<Config>>,
    accepted: watch::Sender<Revision>,
}

impl<T: Table> Replica<T> {
    /// Makes a replica that knows nothing yet. Without a list of VMs no member is ever found to have
    /// ended for certain, but for nodes that start again at the same address.
    ///
    /// ```
    /// use node::sync::{Replica, Settings};
    /// let hub = node::link::Hub::new(Default::default());
    /// let table = clients::table::Memory::default();
    /// let replica = Replica::new(Settings::default(), table, hub, None);
    /// assert_eq!(replica.config().revision(), 0);
    /// ```
    pub fn new(settings: Settings, table: T, hub: Arc<Hub>, vms: Option<vms::Client>) -> Arc<Self> {
        let view = View::new(settings.view.clone(), settings.member.clone());
        Arc::new(Self {
            settings,
            log: Log { table },
            hub,
            vms,
            leaving: AtomicBool::new(false),
            reads: AtomicU64::new(0),
            writes: AtomicU64::new(0),
            view: Mutex::new(view),
            config: watch::Sender::default(),
            accepted: watch::Sender::default(),
        })
    }

    /// Keeps the replica up to date for as long as the node runs.
    pub async fn run(self: Arc<Self>) {
        tokio::join!(
            self.handle_link_events(),
            self.run_timers(),
            self.poll(),
            self.maintain_membership(),
            self.maintain_lease(),
            self.sweep(),
        );
    }

    /// The configuration in force here.
    ///
    /// ```
    /// # let hub = node::link::Hub::new(Default::default());
    /// # let table = clients::table::Memory::default();
    /// # let replica = node::sync::Replica::new(Default::default(), table, hub, None);
    /// assert!(replica.config().members().next().is_none());
    /// ```
    pub fn config(&self) -> Arc<Config> {
        Arc::clone(&self.config.borrow())
    }

    /// Number of this start of the node.
    pub fn incarnation(&self) -> Incarnation {
        self.settings.member.incarnation
    }

    /// Tells of each new configuration.
    ///
    /// ```
    /// # let hub = node::link::Hub::new(Default::default());
    /// # let table = clients::table::Memory::default();
    /// # let replica = node::sync::Replica::new(Default::default(), table, hub, None);
    /// assert_eq!(replica.watch().borrow().revision(), 0);
    /// ```
    pub fn watch(&self) -> watch::Receiver<Arc<Config>> {
        self.config.subscribe()
    }

    /// Whether new work may start on the configuration in force here; asked last thing before the
    /// first byte of the work leaves.
    ///
    /// ```
    /// # let hub = node::link::Hub::new(Default::default());
    /// # let table = clients::table::Memory::default();
    /// # let replica = node::sync::Replica::new(Default::default(), table, hub, None);
    /// assert!(replica.may_start(std::time::Instant::now()).is_err());
    /// ```
    pub fn may_start(&self, now: Instant) -> Result<(), Stale> {
        self.view().may_start(now)
    }

    /// Greatest revision that this node knows to be accepted.
    pub fn accepted_revision(&self) -> Revision {
        self.view().accepted()
    }

    /// Members with what this node knows of their life.
    pub fn members(&self, now: Instant) -> Vec<view::Member> {
        self.view().members(now)
    }

    /// Whether this start of the node is a member.
    pub fn joined(&self) -> bool {
        self.view().joined()
    }

    /// How far a revision has come, as far as this node knows.
    pub fn progress(&self, revision: Revision) -> Progress {
        let view = self.view();
        Progress {
            accepted: view.accepted() >= revision,
            outstanding: view.outstanding(revision),
        }
    }

    /// Reads and writes of the platform's table since the node started.
    pub fn platform_calls(&self) -> (u64, u64) {
        let load = |count: &AtomicU64| count.load(Ordering::Relaxed);
        (load(&self.reads), load(&self.writes))
    }

    /// Tells when the greatest accepted revision grows.
    pub(super) fn subscribe_accepted(&self) -> watch::Receiver<Revision> {
        self.accepted.subscribe()
    }

    /// Whether the change may follow the applied revision.
    pub(super) fn may_follow(&self, entries: &[Entry]) -> Result<(), Pending> {
        self.view().may_follow(entries)
    }

    /// Applies a revision that was written or read here.
    pub(super) fn publish(&self, delta: &Delta) -> Result<(), Error> {
        self.update(|view| view.publish(delta, Instant::now()))?;
        Ok(())
    }

    /// Changes the view, queues the frames it asks for and tells of what is new.
    pub(super) fn update<E>(
        &self,
        change: impl FnOnce(&mut View) -> Result<Vec<Action>, E>,
    ) -> Result<(), E> {
        let mut view = self.view();
        let before = view.revision();
        let actions = change(&mut view)?;
        if view.revision() > before {
            log::info!(event = 1201; "revision {} in force here", view.revision());
            self.hub.update_addresses(view.config());
            self.config.send_replace(Arc::clone(view.config()));
        }
        let accepted = view.accepted();
        self.accepted.send_if_modified(|known| {
            let is_new = accepted > *known;
            *known = accepted;
            is_new
        });
        for action in actions {
            self.perform(action);
        }
        Ok(())
    }

    pub(super) fn view(&self) -> MutexGuard<'_, View> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn perform(&self, action: Action) {
        match action {
            Action::Send(node, frame) => {
                if let Err(error) = self.hub.pass(&node, &frame) {
                    log::debug!(event = 1225; "frame dropped: {error}");
                }
            }
            Action::Replace(node) => {
                if self.hub.close(&node) {
                    log::warn!(event = 1226; "link to {node} is silent and replaced");
                }
            }
        }
    }
}

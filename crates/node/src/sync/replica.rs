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

/// This node's replica of the configuration, through which changes are proposed.
///
/// Lock order: `view`, then the hub's table of links. Frames are queued while `view` is locked, so
/// that they are sent in the order in which the view produced them.
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
    /// Creates an empty replica. Without a VM list, a member is known to have ended only once a
    /// later start of the same node has bound its address.
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

    /// Runs replication and membership until the node stops.
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

    /// Returns the configuration applied on this node.
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

    /// Returns the incarnation of this node, which identifies one start of it.
    pub fn incarnation(&self) -> Incarnation {
        self.settings.member.incarnation
    }

    /// Returns a receiver that is notified of each new configuration.
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

    /// Checks that the configuration applied here is fresh enough to start new work. Call it
    /// immediately before the first byte of the work is sent.
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

    /// Returns the newest revision that this node knows to be accepted.
    pub fn accepted_revision(&self) -> Revision {
        self.view().accepted()
    }

    /// Returns the members with their state as seen from this node.
    pub fn members(&self, now: Instant) -> Vec<view::Member> {
        self.view().members(now)
    }

    /// Returns whether this incarnation of the node is a member.
    pub fn joined(&self) -> bool {
        self.view().joined()
    }

    /// Returns how far a revision has been applied, as known to this node.
    pub fn progress(&self, revision: Revision) -> Progress {
        let view = self.view();
        Progress {
            accepted: view.accepted() >= revision,
            outstanding: view.outstanding(revision),
        }
    }

    /// Returns the number of reads and of writes sent to the platform's table since the start.
    pub fn platform_calls(&self) -> (u64, u64) {
        let load = |count: &AtomicU64| count.load(Ordering::Relaxed);
        (load(&self.reads), load(&self.writes))
    }

    /// Returns a receiver that is notified when the newest accepted revision advances.
    pub(super) fn subscribe_accepted(&self) -> watch::Receiver<Revision> {
        self.accepted.subscribe()
    }

    /// Checks that the change may be written on top of the applied revision, which must be accepted
    /// first if either of them changes the members.
    pub(super) fn may_propose(&self, entries: &[Entry]) -> Result<(), Pending> {
        self.view().may_propose(entries)
    }

    /// Applies a revision that this node wrote to or read from the table, and sends it to peers.
    pub(super) fn publish(&self, delta: &Delta) -> Result<(), Error> {
        self.update(|view| view.publish(delta, Instant::now()))?;
        Ok(())
    }

    /// Updates the view, notifies the watchers of a new configuration or accepted revision, and
    /// performs the actions that the view returns.
    pub(super) fn update<E>(
        &self,
        change: impl FnOnce(&mut View) -> Result<Vec<Action>, E>,
    ) -> Result<(), E> {
        let mut view = self.view();
        let before = view.revision();
        let actions = change(&mut view)?;
        if view.revision() > before {
            log::info!(event = 1201; "revision {} applied", view.revision());
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
                if let Err(error) = self.hub.send_if_linked(&node, &frame) {
                    log::debug!(event = 1225; "frame dropped: {error}");
                }
            }
            Action::Reconnect(node) => {
                if self.hub.close(&node) {
                    log::warn!(event = 1226; "closed the silent link to {node}; it will be replaced");
                }
            }
        }
    }
}

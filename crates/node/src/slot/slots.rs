//! The slots of the node, shared by its requests.

use super::core::{Core, Outgoing};
use super::{Context, Guard, probe};
use contract::{Config, NodeId, Owner};
use limits::slot::{Outcome, Permit, Refusal, Settings};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};
use wire::Frame;

/// Maximum delay between two steps.
const STEP_INTERVAL: Duration = Duration::from_millis(10);

/// The slots of the node. The single lock is held for one operation at a time and never across an
/// await.
#[derive(Debug)]
pub struct Slots {
    core: Mutex<Core>,
    /// Notified when a step is due at once.
    due: Notify,
    /// Notified when slots may have become free.
    freed: Notify,
}

impl Slots {
    /// Creates the slots of one incarnation of a node.
    ///
    /// ```
    /// use contract::Owner;
    /// use limits::slot::Settings;
    /// let slots = node::slot::Slots::new(Owner::new("n1", 1), Settings::default());
    /// assert!(slots.acquire("127.0.0.1:1").is_err());
    /// ```
    pub fn new(owner: Owner, settings: Settings) -> Arc<Self> {
        Arc::new(Self {
            core: Mutex::new(Core::new(owner, settings)),
            due: Notify::new(),
            freed: Notify::new(),
        })
    }

    /// Requests slots from homes and follows the configuration until the node stops.
    pub async fn run<C: Context>(&self, context: &C) {
        tokio::join!(self.run_requests(context), probe::run(self));
    }

    async fn run_requests<C: Context>(&self, context: &C) {
        loop {
            let outgoing = self.step(context);
            send(context, outgoing);
            tokio::select! {
                () = self.due.notified() => {}
                () = sleep(STEP_INTERVAL) => {}
            }
        }
    }

    /// Handles a slot frame of another node and ignores other frames.
    pub fn handle_frame<C: Context>(&self, context: &C, from: &Owner, frame: &Frame) {
        match frame {
            Frame::SlotRequest(request) => {
                let is_fresh = context.is_fresh();
                let outgoing = self
                    .lock()
                    .handle_request(Instant::now(), from, request, is_fresh);
                send(context, outgoing);
            }
            Frame::SlotHandover(handover) => {
                self.lock().take_over(Instant::now(), handover);
                self.due.notify_one();
            }
            Frame::SlotGrant(grant) => {
                self.lock().handle_grant(from, grant);
                self.freed.notify_waiters();
            }
            _ => {}
        }
    }

    /// Occupies a slot of a backend server for one request, if one is free.
    pub fn acquire(self: &Arc<Self>, backend: &str) -> Result<Guard, Refusal> {
        match self.lock().holder.acquire(Instant::now(), backend) {
            Ok(permit) => Ok(Guard::new(Arc::clone(self), permit)),
            Err(refusal) => {
                self.due.notify_one();
                Err(refusal)
            }
        }
    }

    /// Occupies a slot of a backend server, waiting up to `wait` for one.
    pub async fn acquire_within(
        self: &Arc<Self>,
        backend: &str,
        wait: Duration,
    ) -> Result<Guard, Refusal> {
        let end = Instant::now() + wait;
        loop {
            let freed = self.freed.notified();
            tokio::pin!(freed);
            freed.as_mut().enable();
            let refusal = match self.acquire(backend) {
                Ok(guard) => return Ok(guard),
                Err(refusal) => refusal,
            };
            let left = end.saturating_duration_since(Instant::now());
            if timeout(left, freed).await.is_err() {
                return Err(refusal);
            }
        }
    }

    /// Returns the number of slots of a backend server that are free for new requests.
    pub fn available(&self, backend: &str) -> u32 {
        self.lock().holder.free(Instant::now(), backend)
    }

    /// Returns the number of this node's requests in flight at a backend server.
    pub fn in_flight(&self, backend: &str) -> u32 {
        self.lock().holder.in_flight(backend)
    }

    /// Returns the home of a backend server, as known to this node.
    pub fn home_of(&self, backend: &str) -> Option<NodeId> {
        self.lock().home_of(backend).cloned()
    }

    /// Applies a backend server's own count of running requests, which may be up to `age` old.
    pub fn observe(&self, backend: &str, running: u32, age: Duration) {
        let mut core = self.lock();
        core.home.observe(Instant::now(), backend, running, age);
    }

    /// Returns the backend servers of this home at which unreported requests may be in flight, so
    /// that their own counts should be read.
    pub fn unconfirmed(&self) -> Vec<contract::BackendId> {
        self.lock().home.unconfirmed().cloned().collect()
    }

    /// Applies a configuration and a VM list without waiting for the next step.
    pub fn update(&self, config: &Config, servers: &Arc<Vec<crate::fleet::Server>>) {
        self.lock().update(Instant::now(), config, servers);
        self.due.notify_one();
    }

    /// Returns all slots to their homes, for example when the node leaves. Requests in flight
    /// continue.
    pub fn close(&self) {
        self.lock().holder.close(Instant::now());
        self.due.notify_one();
    }

    pub(super) fn release(&self, permit: Permit, outcome: &Outcome) {
        let backend = permit.backend().clone();
        let is_cold = self.lock().holder.release(Instant::now(), permit, outcome);
        if is_cold {
            log::warn!(event = 1310, backend; "backend server shows signs of a cold start");
            self.due.notify_one();
        }
        self.freed.notify_waiters();
    }

    fn step<C: Context>(&self, context: &C) -> Vec<Outgoing> {
        let config = context.config();
        let servers = context.servers();
        let is_fresh = context.is_fresh();
        let accepted = context.accepted_revision();
        let now = Instant::now();
        let mut core = self.lock();
        core.update(now, &config, &servers);
        core.home.mark_accepted(now, accepted);
        let outgoing = core.step(now, is_fresh);
        drop(core);
        self.freed.notify_waiters();
        outgoing
    }

    fn lock(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn send<C: Context>(context: &C, outgoing: Vec<Outgoing>) {
    for (node, frame) in outgoing {
        context.send(&node, frame);
    }
}

//! The node's slots, shared by its requests.

use super::core::{Core, Outgoing};
use super::{Context, Guard, probe};
use contract::{Config, NodeId, Owner};
use limits::slot::{Outcome, Permit, Refusal, Settings};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};
use wire::Frame;

/// Longest time between looks at what is due.
const STEP_INTERVAL: Duration = Duration::from_millis(10);

/// The node's slots. One lock, held for single steps and never over an await.
#[derive(Debug)]
pub struct Slots {
    core: Mutex<Core>,
    /// Something is due before the next step.
    due: Notify,
    /// A slot has become free.
    freed: Notify,
}

impl Slots {
    /// Slots of one start of a node.
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

    /// Asks homes for slots and follows the configuration for as long as the node runs.
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

    /// Takes in a frame of another node; frames for other parts are passed over.
    pub fn handle_frame<C: Context>(&self, context: &C, from: &Owner, frame: &Frame) {
        match frame {
            Frame::SlotRequest(request) => {
                let fresh = context.is_fresh();
                let outgoing = self
                    .lock()
                    .handle_request(Instant::now(), from, request, fresh);
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

    /// Occupies a slot of a backend server for one request, if one is free now.
    pub fn acquire(self: &Arc<Self>, backend: &str) -> Result<Guard, Refusal> {
        match self.lock().holder.acquire(Instant::now(), backend) {
            Ok(permit) => Ok(Guard::new(Arc::clone(self), permit)),
            Err(refusal) => {
                self.due.notify_one();
                Err(refusal)
            }
        }
    }

    /// Occupies a slot, waiting for one for at most `wait`.
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
                Ok(hold) => return Ok(hold),
                Err(refusal) => refusal,
            };
            let left = end.saturating_duration_since(Instant::now());
            if timeout(left, freed).await.is_err() {
                return Err(refusal);
            }
        }
    }

    /// Slots free for new work at a backend server now.
    pub fn available(&self, backend: &str) -> u32 {
        self.lock().holder.free(Instant::now(), backend)
    }

    /// This node's requests in flight at a backend server.
    pub fn in_flight(&self, backend: &str) -> u32 {
        self.lock().holder.in_flight(backend)
    }

    /// The home of a backend server, as this node knows it.
    pub fn home_of(&self, backend: &str) -> Option<NodeId> {
        self.lock().home_of(backend).cloned()
    }

    /// Takes a backend server's own count of running requests, `age` old.
    pub fn observe(&self, backend: &str, running: u32, age: Duration) {
        let mut core = self.lock();
        core.home.observe(Instant::now(), backend, running, age);
    }

    /// Backend servers of this home where unreported work may be in flight: their own counts
    /// are worth reading.
    pub fn unconfirmed(&self) -> Vec<contract::BackendId> {
        self.lock().home.unconfirmed().cloned().collect()
    }

    /// Follows the configuration and the list of VMs at once.
    pub fn update(&self, config: &Config, servers: &Arc<Vec<crate::fleet::Server>>) {
        self.lock().update(Instant::now(), config, servers);
        self.due.notify_one();
    }

    /// Gives all slots back, as when the node leaves. Work in flight goes on.
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
        let fresh = context.is_fresh();
        let accepted = context.accepted_revision();
        let now = Instant::now();
        let mut core = self.lock();
        core.update(now, &config, &servers);
        core.home.mark_accepted(now, accepted);
        let outgoing = core.step(now, fresh);
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

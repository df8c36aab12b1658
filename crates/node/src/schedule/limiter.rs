//! Concurrency limiter of one pool, with its queue of waiting requests.

use contract::Map;
use limits::Refusal;
use limits::admission::{Decision, Dequeued, Queue, Request, Settings, Ticket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Result delivered to a waiting request.
type Admission = Result<Permit, Refusal>;

/// Delay suggested to callers whose request was shed.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// A request that arrives at the queue of a pool.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Name of the pool, such as `small@1`.
    pub pool: &'a str,
    /// Maximum number of requests that this node may run at the pool at once.
    pub capacity: u32,
    /// Customer that sent the request.
    pub customer: &'a str,
    /// Priority from 0 (highest) to 9 (lowest).
    pub priority: u8,
    /// Weight of the customer in fair queueing.
    pub weight: u32,
    /// When the complete answer is due.
    pub deadline: Instant,
    /// Expected duration of the run.
    pub expected: Duration,
}

/// Permission to run at a pool, released on drop.
#[derive(Debug)]
pub struct Permit {
    limiter: Arc<Limiter>,
    started: Instant,
}

/// Bounds the number of requests that run at a pool and queues the rest.
#[derive(Debug)]
pub(super) struct Limiter {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    queue: Queue,
    waiting: Map<Ticket, oneshot::Sender<Admission>>,
    last_ticket: Ticket,
}

/// Removes a request from the queue on drop, for callers that stop waiting.
struct Waiter<'a> {
    limiter: &'a Arc<Limiter>,
    ticket: Ticket,
}

impl Limiter {
    pub(super) fn new(settings: Settings) -> Self {
        let state = State {
            queue: Queue::new(settings, 0),
            waiting: Map::default(),
            last_ticket: 0,
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Waits for a permit to run.
    pub(super) async fn acquire(
        limiter: &Arc<Self>,
        arrival: Arrival<'_>,
    ) -> Result<Permit, Refusal> {
        let (ticket, admission) = match limiter.enqueue(arrival)? {
            None => return Ok(Permit::new(limiter)),
            Some(waiting) => waiting,
        };
        let _waiter = Waiter { limiter, ticket };
        limiter.admit_due();
        let left = arrival.deadline.saturating_duration_since(Instant::now());
        match tokio::time::timeout(left, admission).await {
            Ok(Ok(admission)) => admission,
            _ => Err(shed()),
        }
    }

    /// Changes how many requests may run at once, and admits waiting ones if possible.
    pub(super) fn resize(self: &Arc<Self>, capacity: u32) {
        self.lock().queue.resize(capacity);
        self.admit_due();
    }

    pub(super) fn expected_wait(&self, request: &Request) -> Duration {
        self.lock().queue.expected_wait(request)
    }

    pub(super) fn counts(&self) -> (u32, usize) {
        let state = self.lock();
        (state.queue.running(), state.queue.waiting())
    }

    /// Adds a request to the queue. `None` if it may run now, otherwise its ticket and the channel of
    /// its admission.
    #[allow(clippy::type_complexity)]
    fn enqueue(
        &self,
        arrival: Arrival<'_>,
    ) -> Result<Option<(Ticket, oneshot::Receiver<Admission>)>, Refusal> {
        let mut state = self.lock();
        state.queue.resize(arrival.capacity);
        state.last_ticket += 1;
        let ticket = state.last_ticket;
        let request = Request {
            ticket,
            customer: arrival.customer,
            priority: arrival.priority,
            weight: arrival.weight,
            deadline: arrival.deadline,
            expected: arrival.expected,
        };
        match state.queue.admit(Instant::now(), request)? {
            Decision::Run => return Ok(None),
            Decision::Wait => {}
            Decision::Evict(evicted) => {
                if let Some(sender) = state.waiting.remove(&evicted) {
                    let _ = sender.send(Err(full()));
                }
            }
        }
        let (sender, admission) = oneshot::channel();
        state.waiting.insert(ticket, sender);
        Ok(Some((ticket, admission)))
    }

    /// Admits and sheds the requests that are due. Results are sent after the lock is released: a
    /// permit whose receiver is gone is dropped at once, which takes the lock again.
    fn admit_due(self: &Arc<Self>) {
        let mut admissions = Vec::new();
        let mut state = self.lock();
        while let Some(next) = state.queue.dequeue(Instant::now()) {
            let (ticket, run) = match next {
                Dequeued::Run(ticket) => (ticket, true),
                Dequeued::Shed(ticket) => (ticket, false),
            };
            let admission = if run {
                Ok(Permit::new(self))
            } else {
                Err(shed())
            };
            admissions.push((state.waiting.remove(&ticket), admission));
        }
        drop(state);
        for (sender, admission) in admissions {
            if let Some(sender) = sender {
                let _ = sender.send(admission);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Permit {
    fn new(limiter: &Arc<Limiter>) -> Self {
        Self {
            limiter: Arc::clone(limiter),
            started: Instant::now(),
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.limiter.lock().queue.complete(self.started.elapsed());
        self.limiter.admit_due();
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let mut state = self.limiter.lock();
        state.queue.cancel(self.ticket);
        state.waiting.remove(&self.ticket);
    }
}

fn shed() -> Refusal {
    Refusal::Late {
        late: Duration::ZERO,
        retry_after: RETRY_AFTER,
    }
}

fn full() -> Refusal {
    Refusal::Full {
        retry_after: RETRY_AFTER,
    }
}

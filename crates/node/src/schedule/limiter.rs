//! The queue before one pool, with those who wait in it.

use contract::Map;
use limits::Refusal;
use limits::admission::{Decision, Dequeued, Queue, Request, Settings, Ticket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// What comes to those who wait.
type Verdict = Result<Permit, Refusal>;

/// Wait that is suggested to callers whose request was shed.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// A request at the door of a pool.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Name of the pool, such as `small@1`.
    pub pool: &'a str,
    /// Requests that this node may run at the pool at once.
    pub capacity: u32,
    /// Customer that asks.
    pub customer: &'a str,
    /// 0 goes first, 9 last.
    pub priority: u8,
    /// Fair share relative to other customers.
    pub weight: u32,
    /// When the whole answer is due.
    pub deadline: Instant,
    /// Expected time to run.
    pub expected: Duration,
}

/// Leave to run; it ends when dropped.
#[derive(Debug)]
pub struct Permit {
    limiter: Arc<Limiter>,
    begun: Instant,
}

#[derive(Debug)]
pub(super) struct Limiter {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    queue: Queue,
    waiting: Map<Ticket, oneshot::Sender<Verdict>>,
    tickets: Ticket,
}

/// Takes a request out of the queue when its caller stops waiting.
struct Place<'a> {
    limiter: &'a Arc<Limiter>,
    ticket: Ticket,
}

impl Limiter {
    pub(super) fn new(settings: Settings) -> Self {
        let state = State {
            queue: Queue::new(settings, 0),
            waiting: Map::default(),
            tickets: 0,
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Waits for leave to run.
    pub(super) async fn acquire(
        limiter: &Arc<Self>,
        arrival: Arrival<'_>,
    ) -> Result<Permit, Refusal> {
        let (ticket, verdict) = match limiter.offer(arrival)? {
            None => return Ok(Permit::new(limiter)),
            Some(waiting) => waiting,
        };
        let _place = Place { limiter, ticket };
        limiter.pump();
        let left = arrival.deadline.saturating_duration_since(Instant::now());
        match tokio::time::timeout(left, verdict).await {
            Ok(Ok(verdict)) => verdict,
            _ => Err(shed()),
        }
    }

    /// Lets more or fewer requests run at once from now on.
    pub(super) fn resize(self: &Arc<Self>, capacity: u32) {
        self.lock().queue.resize(capacity);
        self.pump();
    }

    pub(super) fn expected_wait(&self, request: &Request) -> Duration {
        self.lock().queue.expected_wait(request)
    }

    pub(super) fn counts(&self) -> (u32, usize) {
        let state = self.lock();
        (state.queue.running(), state.queue.waiting())
    }

    /// None when the request runs now, else its ticket and what it waits for.
    #[allow(clippy::type_complexity)]
    fn offer(
        &self,
        arrival: Arrival<'_>,
    ) -> Result<Option<(Ticket, oneshot::Receiver<Verdict>)>, Refusal> {
        let mut state = self.lock();
        state.queue.resize(arrival.capacity);
        state.tickets += 1;
        let ticket = state.tickets;
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
        let (sender, verdict) = oneshot::channel();
        state.waiting.insert(ticket, sender);
        Ok(Some((ticket, verdict)))
    }

    /// Lets those run whose turn it is. Verdicts are sent without the lock, because a pass that
    /// nobody takes any more comes back through it.
    fn pump(self: &Arc<Self>) {
        let mut verdicts = Vec::new();
        let mut state = self.lock();
        while let Some(next) = state.queue.dequeue(Instant::now()) {
            let (ticket, run) = match next {
                Dequeued::Run(ticket) => (ticket, true),
                Dequeued::Shed(ticket) => (ticket, false),
            };
            let verdict = if run {
                Ok(Permit::new(self))
            } else {
                Err(shed())
            };
            verdicts.push((state.waiting.remove(&ticket), verdict));
        }
        drop(state);
        for (sender, verdict) in verdicts {
            if let Some(sender) = sender {
                let _ = sender.send(verdict);
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
            begun: Instant::now(),
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.limiter.lock().queue.complete(self.begun.elapsed());
        self.limiter.pump();
    }
}

impl Drop for Place<'_> {
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

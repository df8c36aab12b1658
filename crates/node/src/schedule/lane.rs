//! The queue before one pool, with those who wait in it.

use contract::Map;
use limits::Refusal;
use limits::admission::{Decision, Dequeued, Queue, Request, Settings, Ticket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// What comes to those who wait.
type Verdict = Result<Pass, Refusal>;

/// Wait that is suggested to callers whose request was shed.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// A request at the door of a pool.
#[derive(Clone, Copy, Debug)]
pub struct Entry<'a> {
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
pub struct Pass {
    lane: Arc<Lane>,
    begun: Instant,
}

#[derive(Debug)]
pub(super) struct Lane {
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
    lane: &'a Arc<Lane>,
    ticket: Ticket,
}

impl Lane {
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
    pub(super) async fn enter(lane: &Arc<Self>, entry: Entry<'_>) -> Result<Pass, Refusal> {
        let (ticket, verdict) = match lane.offer(entry)? {
            None => return Ok(Pass::new(lane)),
            Some(waiting) => waiting,
        };
        let _place = Place { lane, ticket };
        lane.pump();
        let left = entry.deadline.saturating_duration_since(Instant::now());
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
        entry: Entry<'_>,
    ) -> Result<Option<(Ticket, oneshot::Receiver<Verdict>)>, Refusal> {
        let mut state = self.lock();
        state.queue.resize(entry.capacity);
        state.tickets += 1;
        let ticket = state.tickets;
        let request = Request {
            ticket,
            customer: entry.customer,
            priority: entry.priority,
            weight: entry.weight,
            deadline: entry.deadline,
            expected: entry.expected,
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
                Ok(Pass::new(self))
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

impl Pass {
    fn new(lane: &Arc<Lane>) -> Self {
        Self {
            lane: Arc::clone(lane),
            begun: Instant::now(),
        }
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        self.lane.lock().queue.complete(self.begun.elapsed());
        self.lane.pump();
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut state = self.lane.lock();
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

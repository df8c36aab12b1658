//! Waits for a backend server, and leaves it for another one if that is likely to be faster.

use super::attempt::{Attempt, start_attempt_if};
use super::exchange::Exchange;
use crate::app::App;
use limits::retry::Purpose;
use route::ServerId;
use route::pool::{self, Hedge, Load, Pool};
use route::server::Listing;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::sleep_until;

/// Interval at which a failover is tried once a backend server has exceeded its deadline.
const FAILOVER_INTERVAL: Duration = Duration::from_millis(250);

/// Result of waiting for a backend server.
#[derive(Debug)]
pub enum Wait<T> {
    /// The awaited operation has completed.
    Done(T),
    /// It took too long, and an attempt on another server has been reserved.
    Failover(Attempt),
    /// The deadline of the request has passed.
    Expired,
}

/// Times from which a failover to another backend server is tried.
#[derive(Clone, Copy, Debug)]
pub struct Deadlines {
    /// For a backend server that sends nothing at all.
    pub silent: Instant,
    /// For a backend server that has just sent something for another request: it is busy, and
    /// another server would have to read the prompt again.
    pub busy: Instant,
}

impl Deadlines {
    /// The same deadline for silent and for busy backend servers.
    pub fn uniform(deadline: Instant) -> Self {
        Self {
            silent: deadline,
            busy: deadline,
        }
    }
}

/// Waits for an operation of a backend server. From its deadline on, a failover is tried at
/// intervals. While none is possible the wait goes on, since a late response is better than none.
pub async fn wait<T>(
    app: &Arc<App>,
    exchange: &Exchange,
    current: &Attempt,
    deadlines: Deadlines,
    operation: impl Future<Output = T>,
) -> Wait<T> {
    tokio::pin!(operation);
    let mut next_check = deadlines.silent;
    // The time until the first failover of a stream restarts with each event.
    let begun = match exchange.last_event_id {
        Some(_) => Instant::now(),
        None => current.started(),
    };
    let time_limit = deadlines.silent.saturating_duration_since(begun);
    loop {
        let until = next_check.min(exchange.deadline);
        tokio::select! {
            done = operation.as_mut() => return Wait::Done(done),
            () = sleep_until(until.into()) => (),
            () = app.path_lost.notified() => (),
        }
        let now = Instant::now();
        if now >= exchange.deadline {
            return Wait::Expired;
        }
        let is_hung = current.is_hung(now);
        if is_hung && let Some(attempt) = leave_hung(app, exchange) {
            return Wait::Failover(attempt);
        }
        // Only a hung connection is left before the deadline of the backend server: the others may live on
        // while the path is lost.
        let next = next_check.max(deadlines.silent);
        if now < next {
            next_check = next.min(now + FAILOVER_INTERVAL);
            continue;
        }
        next_check = now + FAILOVER_INTERVAL;
        if now < deadlines.busy && app.state().pool.is_active(now, current.server_id()) {
            continue;
        }
        if let Some(attempt) = failover(app, exchange, current, now - begun, time_limit) {
            return Wait::Failover(attempt);
        }
    }
}

/// Starts another attempt for a request whose connection hangs, if it may be sent again.
fn leave_hung(app: &Arc<App>, exchange: &Exchange) -> Option<Attempt> {
    if !exchange.is_repeatable() {
        return None;
    }
    let mut granted = None;
    let attempt = start_attempt_if(app, exchange, |state, _, _| {
        let now = Instant::now();
        let taken = state.take_retry(now, &exchange.service, Purpose::Recovery);
        *granted.insert(taken)
    });
    if let Some(granted) = granted {
        app.count_retry(Purpose::Recovery, granted);
    }
    attempt.ok().flatten()
}

/// Starts an attempt on another backend server if the request may be sent again, and is likely to be
/// answered sooner there.
fn failover(
    app: &Arc<App>,
    exchange: &Exchange,
    current: &Attempt,
    waited: Duration,
    time_limit: Duration,
) -> Option<Attempt> {
    if !exchange.is_repeatable() {
        return None;
    }
    let is_late = waited >= time_limit.mul_f64(pool::SILENT_RATIO);
    let purpose = purpose(exchange, is_late);
    let mut granted = None;
    let mut weighed = None;
    let attempt = start_attempt_if(app, exchange, |state, query, server| {
        let pays = match purpose {
            Purpose::Recovery => is_less_loaded(&state.pool, server, current),
            _ => {
                let (pool, id, own) = (&state.pool, current.server_id(), current.load());
                let has_begun = exchange.last_event_id.is_some();
                let hedge = Hedge {
                    current_millis: pool.expected_millis(query, id, own),
                    other_millis: pool.expected_millis(query, &server.id, Load::default()),
                    next_event_millis: pool.next_event_millis(query, id, own, has_begun),
                    waited_millis: waited.as_secs_f64() * 1e3,
                    is_late,
                };
                weighed.insert(hedge).pays()
            }
        };
        granted = pays.then(|| state.take_retry(Instant::now(), &exchange.service, purpose));
        granted == Some(true)
    });
    if let Some(granted) = granted {
        app.count_retry(purpose, granted);
    }
    if let Some(hedge) = weighed {
        log::debug!(event = 1749, request = exchange.log_id(), server = current.server_id().as_str(),
            purpose = purpose.name(), pays = hedge.pays(), granted = granted.unwrap_or_default(),
            current_ms = hedge.current_millis as u64, tcurrent_ms = hedge.other_millis as u64,
            next_event_ms = hedge.next_event_millis as u64, waited_ms = hedge.waited_millis as u64;
            "another backend server weighed against a slow one");
    }
    attempt.ok().flatten()
}

/// What a failover from a slow backend server is for.
fn purpose(exchange: &Exchange, is_late: bool) -> Purpose {
    match (&exchange.model, exchange.last_event_id) {
        // Nothing else uses the retry budget of a plain service.
        (None, _) => Purpose::Recovery,
        // A caller that has received a part of an answer waits for nothing else.
        (Some(_), Some(_)) if is_late => Purpose::Resumption,
        (Some(_), _) => Purpose::Hedge,
    }
}

/// Whether a plain backend server has fewer requests than the current one, which has this request too.
fn is_less_loaded(pool: &Pool, server: &Listing, current: &Attempt) -> bool {
    let requests = |id: &ServerId| {
        let server = pool.servers().get(id);
        server.map_or(0, |server| server.load().requests)
    };
    requests(&server.id) < requests(current.server_id()).max(1)
}

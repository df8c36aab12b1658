//! Passes the rest of a large response on to its caller while it arrives.
//!
//! A response is buffered as long as its window has room, so that it can be asked for elsewhere if it
//! breaks off. Beyond that it is passed on at the pace of its caller.
//!
//! After the deadline only a response whose caller is slow goes on: its length is announced, and its
//! backend server has the bytes ready. One without a length may have no end.

use super::attempt::{Attempt, Failure};
use super::blocks::Blocks;
use super::collect::{MAX_RESPONSE_BYTES, Partial};
use super::exchange::Exchange;
use crate::app::App;
use crate::body::{Body, Truncated};
use crate::memory::Window;
use crate::{inflight, upstream};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use route::pool::Outcome;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::time::timeout_at;

/// Time without progress after which a response is broken off once its deadline has passed. One that
/// its caller still reads is not cut.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time, in all, for which the backend server of a response of announced length is waited for
/// after the deadline. Callers are to have the end of a response within a quarter of a second after the
/// route's timeout, which includes its delivery.
const LATE_TIME: Duration = Duration::from_millis(100);

/// How the rest of a response ends.
enum End {
    Complete,
    /// The backend server broke it off, or fell silent.
    Failed(Failure),
    /// The caller has disconnected, or reads nothing.
    CallerGone,
}

/// Starts to pass a response on; returns it with what has arrived so far.
pub fn start(
    app: &Arc<App>,
    exchange: Exchange,
    (partial, attempt): (Partial, Attempt),
    guard: inflight::Guard,
) -> Response<Body> {
    let (head, announced, received) = (partial.head(), partial.announced(), partial.blocks.len());
    log::info!(event = 1746, request = exchange.log_id(), server = attempt.server_id().as_str(),
        bytes = received; "large response passed on as it arrives");
    app.metrics.passed_through.inc();
    let Partial {
        response,
        blocks,
        pending,
    } = partial;
    let (blocks, window) = blocks.into_parts();
    let (sender, rest) = mpsc::unbounded_channel();
    let relay = Relay {
        response,
        window,
        received,
        sender,
        deadline: exchange.deadline,
        late_time: announced.map(|_| LATE_TIME).unwrap_or_default(),
    };
    let app = Arc::clone(app);
    tokio::spawn(async move {
        let _guard = guard;
        relay.run(&app, &exchange, attempt, pending).await;
    });
    head.map(|()| Body::blocks(blocks, announced, Some(rest)))
}

/// The rest of a response on its way to the caller.
struct Relay {
    response: upstream::Response,
    window: Window,
    /// Bytes that have arrived.
    received: usize,
    sender: mpsc::UnboundedSender<Result<Bytes, Truncated>>,
    deadline: Instant,
    /// Time for which the backend server may still be waited for after the deadline.
    late_time: Duration,
}

impl Relay {
    /// Passes the rest on, beginning with bytes that have arrived already.
    async fn run(mut self, app: &App, exchange: &Exchange, mut attempt: Attempt, pending: Bytes) {
        let end = tokio::select! {
            end = self.relay(pending) => end,
            () = app.grace_over.notified() => End::CallerGone,
        };
        match end {
            End::Complete => return attempt.set_outcome(Outcome::Succeeded),
            End::CallerGone => {
                log::info!(event = 1748, request = exchange.log_id(), bytes = self.received; "caller left a large response");
            }
            End::Failed(failure) => attempt.fail(exchange, &failure),
        }
        drop(attempt);
        drop(self.response);
        // Sending fails only if the caller has disconnected.
        let _ = self.sender.send(Err(Truncated));
        let closed = self.sender.closed();
        exchange.closer.close_after(self.deadline, closed).await;
    }

    async fn relay(&mut self, mut data: Bytes) -> End {
        loop {
            self.received += data.len();
            if self.received > MAX_RESPONSE_BYTES {
                return End::Failed(Failure::Oversized);
            }
            if self.late_time.is_zero() && Instant::now() >= self.deadline {
                return End::Failed(Failure::Unfinished);
            }
            let held = tokio::select! {
                held = timeout_at(self.caller_limit(), Blocks::hold(&self.window, &data)) => held,
                () = self.sender.closed() => return End::CallerGone,
            };
            let Ok(held) = held else {
                return End::CallerGone;
            };
            if self.sender.send(Ok(held)).is_err() {
                return End::CallerGone;
            }
            let begun = Instant::now();
            let limit = self.deadline.max(begun) + self.late_time;
            let frame = tokio::select! {
                frame = timeout_at(limit.into(), self.response.body.frame()) => frame,
                () = self.sender.closed() => return End::CallerGone,
            };
            let now = Instant::now();
            let waited = now.saturating_duration_since(self.deadline.max(begun));
            self.late_time = self.late_time.saturating_sub(waited);
            data = match frame {
                Err(_) if now - begun < STALL_TIMEOUT => return End::Failed(Failure::Unfinished),
                Err(_) => return End::Failed(Failure::TimedOut),
                Ok(None) => return End::Complete,
                Ok(Some(Err(_))) => return End::Failed(Failure::Truncated),
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
        }
    }

    /// Time until which the caller has to read enough for the next bytes.
    fn caller_limit(&self) -> tokio::time::Instant {
        match self.late_time.is_zero() {
            true => self.deadline.into(),
            false => self.deadline.max(Instant::now() + STALL_TIMEOUT).into(),
        }
    }
}

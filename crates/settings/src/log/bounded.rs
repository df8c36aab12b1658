//! A logger with a budget of lines a second.

use super::{Counts, Limits};
use log::{Level, Log, Metadata, Record};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Length of the windows in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Lines of the present window.
#[derive(Debug)]
struct Window {
    since: Instant,
    usual: u64,
    failed: u64,
}

/// A logger before another one: it passes on a bounded number of lines a second, those of failures
/// by a budget of their own.
#[derive(Debug)]
pub struct Bounded<L> {
    inner: L,
    limits: Limits,
    counts: Counts,
    window: Mutex<Window>,
}

impl<L: Log> Bounded<L> {
    /// A logger with a budget.
    pub fn new(inner: L, limits: Limits, counts: Counts) -> Self {
        let window = Window {
            since: Instant::now(),
            usual: 0,
            failed: 0,
        };
        Self {
            inner,
            limits,
            counts,
            window: Mutex::new(window),
        }
    }

    /// Whether one more line of a level is in the budget.
    fn admits(&self, now: Instant, level: Level) -> bool {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        if now.saturating_duration_since(window.since) >= WINDOW {
            *window = Window {
                since: now,
                usual: 0,
                failed: 0,
            };
        }
        let (count, most) = match level <= Level::Warn {
            true => (&mut window.failed, self.limits.failed_per_s),
            false => (&mut window.usual, self.limits.usual_per_s),
        };
        *count += 1;
        *count <= most
    }
}

impl<L: Log> Log for Bounded<L> {
    fn enabled(&self, metadata: &Metadata) -> bool {
        self.inner.enabled(metadata)
    }

    fn log(&self, record: &Record) {
        if !self.inner.enabled(record.metadata()) {
            return;
        }
        match self.admits(Instant::now(), record.level()) {
            true => self.inner.log(record),
            false => self.counts.drop_one(),
        }
    }

    fn flush(&self) {
        self.inner.flush();
    }
}

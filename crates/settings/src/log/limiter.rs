//! A logger with a budget of lines a second.

use super::{Drops, Limits};
use log::{Level, Log, Metadata, Record};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Length of the windows in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Lines of the present window.
#[derive(Debug)]
struct Window {
    since: Instant,
    info: u64,
    warn: u64,
}

/// A logger before another one: it passes on a limiter number of lines a second, those of failures
/// by a budget of their own.
#[derive(Debug)]
pub struct Limiter<L> {
    inner: L,
    limits: Limits,
    drops: Drops,
    window: Mutex<Window>,
}

impl<L: Log> Limiter<L> {
    /// A logger with a budget.
    pub fn new(inner: L, limits: Limits, drops: Drops) -> Self {
        let window = Window {
            since: Instant::now(),
            info: 0,
            warn: 0,
        };
        Self {
            inner,
            limits,
            drops,
            window: Mutex::new(window),
        }
    }

    /// Whether one more line of a level is in the budget.
    fn admits(&self, now: Instant, level: Level) -> bool {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        if now.saturating_duration_since(window.since) >= WINDOW {
            *window = Window {
                since: now,
                info: 0,
                warn: 0,
            };
        }
        let (count, most) = match level <= Level::Warn {
            true => (&mut window.warn, self.limits.warn_per_s),
            false => (&mut window.info, self.limits.info_per_s),
        };
        *count += 1;
        *count <= most
    }
}

impl<L: Log> Log for Limiter<L> {
    fn enabled(&self, metadata: &Metadata) -> bool {
        self.inner.enabled(metadata)
    }

    fn log(&self, record: &Record) {
        if !self.inner.enabled(record.metadata()) {
            return;
        }
        match self.admits(Instant::now(), record.level()) {
            true => self.inner.log(record),
            false => self.drops.increment(),
        }
    }

    fn flush(&self) {
        self.inner.flush();
    }
}

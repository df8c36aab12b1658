//! Rate limit for log lines.

use super::{Drops, Limits};
use log::{Level, Log, Metadata, Record};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Length of the fixed windows of the rate limit.
const WINDOW: Duration = Duration::from_secs(1);

/// Lines counted in the current window.
#[derive(Debug)]
struct Window {
    start: Instant,
    info: u64,
    warn: u64,
}

/// Wraps a logger and passes on a limited number of lines per second. Lines of level warn and above
/// have a limit of their own. Lines over the limits are dropped and counted.
#[derive(Debug)]
pub struct Limiter<L> {
    inner: L,
    limits: Limits,
    drops: Drops,
    window: Mutex<Window>,
}

impl<L: Log> Limiter<L> {
    /// Wraps `inner`; `drops` counts the lines over the limit.
    pub fn new(inner: L, limits: Limits, drops: Drops) -> Self {
        let window = Window {
            start: Instant::now(),
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

    /// Counts a line of a level and returns whether it is within the limit.
    fn admit(&self, now: Instant, level: Level) -> bool {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        if now.saturating_duration_since(window.start) >= WINDOW {
            *window = Window {
                start: now,
                info: 0,
                warn: 0,
            };
        }
        let (count, limit) = match level <= Level::Warn {
            true => (&mut window.warn, self.limits.warn_per_s),
            false => (&mut window.info, self.limits.info_per_s),
        };
        *count += 1;
        *count <= limit
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
        match self.admit(Instant::now(), record.level()) {
            true => self.inner.log(record),
            false => self.drops.increment(),
        }
    }

    fn flush(&self) {
        self.inner.flush();
    }
}

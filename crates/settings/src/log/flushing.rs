//! Flush of a logger that writes from another thread.

use super::Backlog;
use log::{Log, Metadata, Record};
use std::time::Duration;

/// Longest time that a flush takes. If the reader of the log stalls, the lines are lost.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// Wraps a logger whose lines are written by another thread. A flush waits for them.
#[derive(Debug)]
pub struct Flushing<L> {
    inner: L,
    backlog: Backlog,
}

impl<L: Log> Flushing<L> {
    /// Wraps `inner`; `backlog` counts the lines that it has queued.
    pub fn new(inner: L, backlog: Backlog) -> Self {
        Self { inner, backlog }
    }
}

impl<L: Log> Log for Flushing<L> {
    fn enabled(&self, metadata: &Metadata) -> bool {
        self.inner.enabled(metadata)
    }

    fn log(&self, record: &Record) {
        self.inner.log(record);
    }

    fn flush(&self) {
        self.inner.flush();
        self.backlog.wait(FLUSH_TIMEOUT);
    }
}

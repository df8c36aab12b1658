//! The order in which requests run.

use std::time::Duration;

/// Priority first, then the start tag of fair queueing, then arrival.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Order {
    pub(super) priority: u8,
    /// Start tag in microseconds of weighted work.
    pub(super) tag: u64,
    pub(super) sequence: u64,
}

/// Weighted work of a request in microseconds.
pub(super) fn work(expected: Duration, weight: u32) -> u64 {
    let micros = u64::try_from(expected.as_micros()).unwrap_or(u64::MAX);
    (micros / u64::from(weight.max(1))).max(1)
}

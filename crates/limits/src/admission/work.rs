//! Weighted work, the measure of fair shares.

use std::time::Duration;

/// Weighted work of a request in microseconds.
pub(super) fn work(expected: Duration, weight: u32) -> u64 {
    (micros(expected) / u64::from(weight.max(1))).max(1)
}

/// A duration in microseconds.
pub(super) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

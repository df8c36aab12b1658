//! Weighted work, by which fair shares are measured.

use std::time::Duration;

/// Expected run time divided by the weight, in microseconds; at least 1.
pub(super) fn weighted_work(expected: Duration, weight: u32) -> u64 {
    (micros(expected) / u64::from(weight.max(1))).max(1)
}

/// A duration in microseconds.
pub(super) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

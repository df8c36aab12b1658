//! One function for each promise.

mod answers;
mod backends;
mod changes;
mod contracts;
mod money;
mod nodes;

use super::{History, Promise, Violation};

/// A check of one promise.
pub(super) type Check = fn(&History) -> Vec<Violation>;

/// All checks, in the order of the brief.
pub(super) const ALL: [Check; 12] = [
    contracts::allowed,
    changes::withdrawn,
    contracts::session,
    money::billed_once,
    backends::cold_start,
    changes::zone_out,
    answers::whole_answer,
    answers::not_run,
    answers::at_most_once,
    backends::leaving,
    nodes::planned_stop,
    nodes::in_force,
];

fn found(promise: Promise, detail: String) -> Violation {
    Violation { promise, detail }
}

fn millis(duration: std::time::Duration) -> u64 {
    duration.as_millis().try_into().unwrap_or(u64::MAX)
}

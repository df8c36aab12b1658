//! Withdrawn versions and zones taken out.

use super::found;
use crate::history::{History, Intent, Promise, Violation};
use crate::journal::Run;
use rustc_hash::FxHashMap;
use std::time::Duration;

/// No run begins on a version after its withdrawal holds and before that is lifted.
pub fn withdrawn(history: &History) -> Vec<Violation> {
    let bound = history.bounds.in_force;
    let closed = periods(history, bound, |intent| match intent {
        Intent::Withdraw { served, out } => Some((served, *out)),
        _ => None,
    });
    runs_within(history, &closed, |run| {
        Some(format!("{}@{}", run.model, run.version))
    })
    .map(|detail| found(Promise::Withdrawn, detail))
    .collect()
}

/// No run begins in a zone after it is out and before it is brought back.
pub fn zone_out(history: &History) -> Vec<Violation> {
    let bound = history.bounds.zone_out;
    let closed = periods(history, bound, |intent| match intent {
        Intent::Zone { zone, out } => Some((zone, *out)),
        _ => None,
    });
    let zones: FxHashMap<_, _> = history
        .servers
        .iter()
        .map(|server| (server.backend.as_str(), server.zone.clone()))
        .collect();
    runs_within(history, &closed, |run| {
        zones.get(run.backend.as_str()).cloned()
    })
    .map(|detail| found(Promise::ZoneOut, detail))
    .collect()
}

/// A name that may receive no new work from one moment to another.
struct Period {
    name: String,
    from_ms: u64,
    until_ms: u64,
}

fn periods(
    history: &History,
    bound: Duration,
    read: impl Fn(&Intent) -> Option<(&String, bool)>,
) -> Vec<Period> {
    let mut periods = Vec::new();
    for (index, change) in history.changes.iter().enumerate() {
        let Some((name, true)) = read(&change.intent) else {
            continue;
        };
        let Some(from_ms) = change.holds_from(bound, history.bounds.flight) else {
            continue;
        };
        // The other intent may take effect as soon as it is sent.
        let until_ms = history.changes[index + 1..]
            .iter()
            .filter(|later| !later.rejected && read(&later.intent) == Some((name, false)))
            .map(|later| later.sent_ms)
            .min()
            .unwrap_or(u64::MAX);
        let name = name.clone();
        periods.push(Period {
            name,
            from_ms,
            until_ms,
        });
    }
    periods
}

fn runs_within<'a>(
    history: &'a History,
    closed: &'a [Period],
    name: impl Fn(&Run) -> Option<String> + 'a,
) -> impl Iterator<Item = String> + 'a {
    history.runs.iter().filter_map(move |run| {
        let name = name(run)?;
        let period = closed.iter().find(|period| {
            period.name == name && period.from_ms < run.at_ms && run.at_ms < period.until_ms
        })?;
        let late = run.at_ms - period.from_ms;
        Some(format!(
            "{name} ran {} {late} ms after it had to stop",
            run.request_id
        ))
    })
}

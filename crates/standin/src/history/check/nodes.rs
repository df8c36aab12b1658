//! Planned stops, and configuration at the nodes.

use super::{answers, found, millis};
use crate::history::{Bounds, Change, History, Outcome, Promise, Reading, Stop, Violation};
use rustc_hash::FxHashMap;

/// A node that is told to stop ends with status 0 within its time and cuts no request.
pub fn planned_stop(history: &History) -> Vec<Violation> {
    history
        .stops
        .iter()
        .flat_map(|stop| stop_violations(history, stop))
        .collect()
}

fn stop_violations(history: &History, stop: &Stop) -> Vec<Violation> {
    let mut violations = Vec::new();
    let Stop { node, at_ms, .. } = stop;
    let allowed = millis(history.bounds.stop);
    if stop.ended_ms.is_none_or(|ended| ended > at_ms + allowed) {
        let detail = format!("{node} didn't end within {allowed} ms");
        violations.push(found(Promise::PlannedStop, detail));
    } else if stop.status != Some(0) {
        let detail = format!("{node} ended with status {:?}", stop.status);
        violations.push(found(Promise::PlannedStop, detail));
    }
    let ended = stop.ended_ms.unwrap_or(u64::MAX);
    let cut = history.requests.iter().filter(|request| {
        let during = request.sent_ms <= ended && *at_ms <= request.ended_ms;
        let broken = matches!(request.outcome, Outcome::Broken(_) | Outcome::TimedOut);
        request.node == *node && during && broken && !answers::interrupted(history, request)
    });
    for request in cut {
        let detail = format!("{node} cut {}: {:?}", request.subject, request.outcome);
        violations.push(found(Promise::PlannedStop, detail));
    }
    violations
}

/// No node goes back, and none serves with an old revision once a change must hold.
pub fn in_force(history: &History) -> Vec<Violation> {
    let mut violations = reverted(history);
    violations.extend(doubled(history));
    for reading in history.readings.iter().filter(|reading| reading.serving) {
        let missing = history
            .changes
            .iter()
            .find(|change| late(change, reading, history.bounds));
        if let Some(change) = missing {
            let detail = format!(
                "{} served with revision {} although {} made revision {:?}",
                reading.node, reading.revision, change.id, change.revision
            );
            violations.push(found(Promise::InForce, detail));
        }
    }
    violations
}

fn late(change: &Change, reading: &Reading, bounds: Bounds) -> bool {
    let holds = change.holds_from(bounds.in_force, bounds.flight);
    let due = holds.is_some_and(|from| from < reading.at_ms);
    due && change
        .revision
        .is_some_and(|revision| reading.revision < revision)
}

fn reverted(history: &History) -> Vec<Violation> {
    let mut highest: FxHashMap<(&str, u64), u64> = FxHashMap::default();
    let mut violations = Vec::new();
    for reading in &history.readings {
        let known = highest
            .entry((&reading.node, reading.incarnation))
            .or_default();
        if reading.revision < *known {
            let detail = format!("{} went from {known} to {}", reading.node, reading.revision);
            violations.push(found(Promise::InForce, detail));
        }
        *known = reading.revision.max(*known);
    }
    violations
}

/// Two accepted changes can't have made the same revision.
fn doubled(history: &History) -> Vec<Violation> {
    let mut makers: FxHashMap<u64, &str> = FxHashMap::default();
    let mut violations = Vec::new();
    for change in history
        .changes
        .iter()
        .filter(|change| change.accepted_ms.is_some())
    {
        let Some(revision) = change.revision else {
            continue;
        };
        let first = *makers.entry(revision).or_insert(&change.id);
        if first != change.id {
            let detail = format!("{first} and {} both made revision {revision}", change.id);
            violations.push(found(Promise::InForce, detail));
        }
    }
    violations
}

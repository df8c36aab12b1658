//! Contracts and sessions.

use super::found;
use crate::history::{Bounds, Change, History, Intent, Promise, Violation};
use crate::journal::Run;
use rustc_hash::FxHashMap;

/// Every run is allowed by a contract that may have been in force when it began.
pub fn allowed(history: &History) -> Vec<Violation> {
    let runs = history.runs.iter().filter(|run| run.kind == "engine");
    runs.filter(|run| !run_allowed(history, run))
        .map(|run| {
            let Run {
                model,
                version,
                customer,
                request_id,
                ..
            } = run;
            let detail = format!("{customer} ran {model}@{version} in {request_id}");
            found(Promise::Allowed, detail)
        })
        .collect()
}

fn run_allowed(history: &History, run: &Run) -> bool {
    let Bounds {
        in_force, flight, ..
    } = history.bounds;
    let contracts: Vec<(&Change, &[String])> = history
        .changes
        .iter()
        .filter_map(|change| match &change.intent {
            Intent::Allow { customer, models } if *customer == run.customer => {
                Some((change, models.as_slice()))
            }
            _ => None,
        })
        .collect();
    let replaced_at = |index: usize| {
        let later = contracts[index + 1..].iter();
        later
            .filter_map(|(change, _)| change.holds_from(in_force, flight))
            .min()
    };
    contracts
        .iter()
        .enumerate()
        .any(|(index, (change, models))| {
            let began = change.sent_ms <= run.at_ms && !change.rejected;
            let over = replaced_at(index).is_some_and(|end| end < run.at_ms);
            began && !over && models.iter().any(|allowed| names(allowed, run))
        })
}

fn names(allowed: &str, run: &Run) -> bool {
    match allowed.split_once('@') {
        Some((model, version)) => model == run.model && version == run.version,
        None => allowed == run.model,
    }
}

/// All answers in a session come from the same version.
pub fn session(history: &History) -> Vec<Violation> {
    let mut kept: FxHashMap<u64, &str> = FxHashMap::default();
    let mut violations = Vec::new();
    for request in history.requests.iter().filter(|request| request.answered()) {
        let (Some(session), Some(served)) = (request.session, &request.served) else {
            continue;
        };
        let first = *kept.entry(session).or_insert(served);
        if first != served {
            let detail = format!("session {session} began on {first} and went on on {served}");
            violations.push(found(Promise::Session, detail));
        }
    }
    violations
}

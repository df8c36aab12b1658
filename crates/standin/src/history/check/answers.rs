//! Answers, refusals and calls that may not be repeated.

use super::found;
use crate::history::{History, Outcome, Promise, Request, Target, Violation};
use crate::rating::{Answer, digest};
use rustc_hash::FxHashMap;

/// Every answer that looks whole is whole and the caller's own, and none breaks without a cause.
pub fn whole_answer(history: &History) -> Vec<Violation> {
    let wrong = history.requests.iter().filter_map(|request| {
        let reason = match &request.outcome {
            Outcome::Whole(text) => wrong_answer(request, text)?,
            Outcome::Broken(reason) if !interrupted(history, request) => reason.clone(),
            _ => return None,
        };
        let detail = format!("{} at {}: {reason}", request.subject, request.node);
        Some(found(Promise::WholeAnswer, detail))
    });
    wrong.collect()
}

fn wrong_answer(request: &Request, text: &str) -> Option<String> {
    if !matches!(request.target, Target::Chat { .. }) {
        return (!text.contains(&request.subject)).then(|| format!("foreign reply {text:?}"));
    }
    let Ok(answer) = text.parse::<Answer>() else {
        return Some(format!("not a whole answer: {text:?}"));
    };
    if answer.prompt != digest(&request.subject) {
        return Some(format!("answer to another prompt: {text:?}"));
    }
    let served = request.served.as_ref()?;
    (*served != answer.served)
        .then(|| format!("said to come from {served}, came from {}", answer.served))
}

/// Whether the node was killed, or its callers cut off, while the request was under way.
pub(super) fn interrupted(history: &History, request: &Request) -> bool {
    history.interruptions.iter().any(|event| {
        let during = request.sent_ms <= event.until_ms && event.at_ms <= request.ended_ms;
        event.node == request.node && during
    })
}

/// What was refused as not run didn't run, unless another attempt of the same ran.
pub fn not_run(history: &History) -> Vec<Violation> {
    let mut runs: FxHashMap<&str, usize> = FxHashMap::default();
    for run in &history.runs {
        *runs.entry(&run.subject).or_default() += 1;
    }
    let mut attempts: FxHashMap<&str, Vec<&Request>> = FxHashMap::default();
    for request in &history.requests {
        attempts.entry(&request.subject).or_default().push(request);
    }
    let mut violations = Vec::new();
    for (subject, attempts) in attempts {
        let ran = runs.get(subject).copied().unwrap_or(0);
        if ran > 0 && attempts.iter().all(|request| request.told_not_run()) {
            let detail = format!("{subject} was said not to have run and ran {ran} times");
            violations.push(found(Promise::NotRun, detail));
        }
    }
    violations.sort_by(|one, other| one.detail.cmp(&other.detail));
    violations
}

/// No idempotency key of a customer ran twice.
pub fn at_most_once(history: &History) -> Vec<Violation> {
    let mut runs: FxHashMap<(&str, &str), usize> = FxHashMap::default();
    for run in &history.runs {
        if run.kind == "service" && !run.idempotency_key.is_empty() {
            *runs
                .entry((&run.customer, &run.idempotency_key))
                .or_default() += 1;
        }
    }
    let mut violations: Vec<_> = runs
        .into_iter()
        .filter(|(_, count)| *count > 1)
        .map(|((customer, key), count)| {
            found(
                Promise::AtMostOnce,
                format!("{key} of {customer} ran {count} times"),
            )
        })
        .collect();
    violations.sort_by(|one, other| one.detail.cmp(&other.detail));
    violations
}

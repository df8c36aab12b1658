//! Bills.

use super::found;
use crate::history::{Bill, History, Promise, Target, Violation};
use rustc_hash::{FxHashMap, FxHashSet};

/// Every answered completion has one bill, no request has two, and each bill has a run.
pub fn billed_once(history: &History) -> Vec<Violation> {
    let mut bills: FxHashMap<&str, Vec<&Bill>> = FxHashMap::default();
    for bill in &history.bills {
        bills.entry(&bill.request_id).or_default().push(bill);
    }
    let ran: FxHashSet<&str> = history
        .runs
        .iter()
        .map(|run| run.request_id.as_str())
        .collect();
    let mut violations = Vec::new();
    for (id, same) in &bills {
        if same.len() > 1 {
            violations.push(found(
                Promise::BilledOnce,
                format!("{id} has {} bills", same.len()),
            ));
        }
        if !ran.contains(id) {
            violations.push(found(
                Promise::BilledOnce,
                format!("{id} was billed and never ran"),
            ));
        }
    }
    for request in &history.requests {
        let chat = matches!(request.target, Target::Chat { .. });
        let Some(id) = request
            .request_id
            .as_deref()
            .filter(|_| chat && request.answered())
        else {
            continue;
        };
        if !bills.contains_key(id) {
            violations.push(found(
                Promise::BilledOnce,
                format!("{id} was answered and not billed"),
            ));
        }
    }
    violations.sort_by(|one, other| one.detail.cmp(&other.detail));
    violations
}

//! Backend servers in cold start, and those that leave.

use super::{found, millis};
use crate::history::{History, Promise, Violation};

/// No engine received more than it could bear while cold.
pub fn cold_start(history: &History) -> Vec<Violation> {
    history
        .servers
        .iter()
        .filter_map(|server| {
            let overruns = server.counters?.overruns;
            (overruns > 0).then(|| {
                let detail = format!("{} was overrun {overruns} times while cold", server.backend);
                found(Promise::ColdStart, detail)
            })
        })
        .collect()
}

/// No run begins on a backend server some time after it was listed as leaving.
pub fn leaving(history: &History) -> Vec<Violation> {
    let bound = millis(history.bounds.leaving);
    let mut violations = Vec::new();
    for left in &history.leavings {
        let from = left.at_ms + bound;
        let until = left.until_ms.unwrap_or(u64::MAX);
        let late = history
            .runs
            .iter()
            .filter(|run| run.backend == left.backend && from < run.at_ms && run.at_ms < until);
        for run in late {
            let detail = format!(
                "{} received {} {} ms after it was listed as leaving",
                run.backend,
                run.request_id,
                run.at_ms - left.at_ms
            );
            violations.push(found(Promise::Leaving, detail));
        }
    }
    violations
}

//! Writing down how roll-outs stand, for the operator.
//!
//! All nodes judge alike. The first one in the order of names writes; the others come in one after
//! the other if nothing is written. A condition on the row lets only one of them through.

use crate::app::{App, Table};
use platform::store::{STATUS, Write};
use route::Position;
use route::rollout::{Status, Tally};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(150);
/// Time that each node leaves to those before it: a write and the news of it.
const TURN: Duration = Duration::from_millis(500);

/// A row to be written.
struct Due {
    service: String,
    to: String,
    outcome: Status,
    position: Position,
    /// What was seen of both versions.
    seen: Tally,
}

/// Writes what is due, for as long as the node runs.
pub async fn run(app: Arc<App>) {
    let mut since: Option<Instant> = None;
    loop {
        sleep(LOOK).await;
        let now = Instant::now();
        let (due, turn) = due(&app, now);
        if due.is_empty() {
            since = None;
            continue;
        }
        let begun = *since.get_or_insert(now);
        if now.saturating_duration_since(begun) < TURN * turn {
            continue;
        }
        for row in due {
            write(&app, row).await;
        }
        since = Some(Instant::now());
    }
}

/// The rows that don't stand as this node judges, and how many nodes come before it.
fn due(app: &App, now: Instant) -> (Vec<Due>, u32) {
    let mut state = app.state();
    if !state.ready() || state.mirror(Table::Status).position().is_none() {
        return (Vec::new(), 0);
    }
    let judged: Vec<_> = state
        .trials
        .values_mut()
        .map(|trial| (trial.spec.clone(), trial.evaluate(now), trial.total()))
        .collect();
    let mut due = Vec::new();
    for (order, outcome, seen) in judged {
        let row = state
            .mirror(Table::Status)
            .get(&platform::status_key(&order.service));
        let written = row.and_then(|row| row.value.as_deref());
        if written != Some(platform::encode_status(&order.version, outcome).as_slice()) {
            due.push(Due {
                service: order.service,
                to: order.version,
                outcome,
                position: row.map_or(0, |row| row.position),
                seen,
            });
        }
    }
    let own = &app.site.node;
    let before = state.members.alive(now).filter(|member| member.node < *own);
    let turn = before.count() as u32;
    (due, turn)
}

async fn write(app: &App, due: Due) {
    let key = platform::status_key(&due.service);
    let value = platform::encode_status(&due.to, due.outcome);
    let write = Write::new(STATUS)
        .expect(&key, due.position)
        .put(&key, value);
    let outcome = format!("{:?}", due.outcome);
    match app.store.write(&write).await {
        Ok(_) => log::info!(event = 1750, service = due.service.as_str(), to = due.to.as_str(),
            outcome = outcome.as_str(), old = format!("{:?}", due.seen.old).as_str(),
            new = format!("{:?}", due.seen.new).as_str(); "roll-out written down"),
        Err(error) => {
            log::warn!(event = 1751, service = due.service.as_str(), to = due.to.as_str(),
            outcome = outcome.as_str(); "roll-out isn't written down: {error}")
        }
    }
}

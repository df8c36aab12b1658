//! Writes the status of roll-outs to the store, for the operator.
//!
//! All nodes evaluate a roll-out the same way. The first node in name order writes; each of the
//! others steps in after a further delay if the row is still missing. The write is conditional on
//! the row's position, so that only one of them succeeds. A final status is never overwritten: the
//! operator has acted on it.

use crate::app::{App, Table};
use crate::pause;
use platform::store::{STATUS, Write};
use route::Position;
use route::rollout::{Status, Tally};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};
use tokio::time::sleep;

/// Interval at which the status rows are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Delay that each node adds for every node before it: enough for a write and for its propagation.
const TAKEOVER_DELAY: Duration = Duration::from_millis(500);

/// Checks that a node makes after a pause, or its start, before it writes that a version has completed.
/// It hears the other nodes' evidence meanwhile, and what they have written.
const MIN_CHECKS_TO_COMPLETE: u32 = 6;

/// A status row that has to be written.
struct Update {
    service: String,
    to: String,
    status: Status,
    /// Position of the present row, as the condition of the write.
    position: Position,
    /// Evidence on the old and the new version.
    tally: Tally,
}

/// Writes outdated status rows for as long as the node runs.
pub async fn publish(app: Arc<App>) {
    let mut outdated_since: Option<Instant> = None;
    let mut pauses = pause::Detector::new(Instant::now(), SystemTime::now());
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = Instant::now();
        let checks = pauses.check(now, SystemTime::now());
        if checks == 0 {
            log::warn!(event = 1753; "the process was paused, or the time of day has jumped");
        }
        let (mut updates, rank) = pending(&app, now);
        updates.retain(|update| {
            update.status != Status::Completed || checks >= MIN_CHECKS_TO_COMPLETE
        });
        if updates.is_empty() {
            outdated_since = None;
            continue;
        }
        let since = *outdated_since.get_or_insert(now);
        if now.saturating_duration_since(since) < TAKEOVER_DELAY * rank {
            continue;
        }
        for update in updates {
            write(&app, update).await;
        }
        outdated_since = Some(Instant::now());
    }
}

/// The rows that differ from this node's evaluation, and the number of nodes that write before it.
fn pending(app: &App, now: Instant) -> (Vec<Update>, u32) {
    let mut state = app.state();
    if !state.ready() || state.mirror(Table::Status).position().is_none() {
        return (Vec::new(), 0);
    }
    let evaluated: Vec<_> = state
        .trials
        .values_mut()
        .map(|trial| (trial.spec.clone(), trial.evaluate(now), trial.total()))
        .collect();
    let mut updates = Vec::new();
    for (spec, status, tally) in evaluated {
        let row = state
            .mirror(Table::Status)
            .get(&platform::status_key(&spec.service));
        let stored = row.and_then(|row| row.value.as_deref());
        if stored != Some(platform::encode_status(&spec.version, status).as_slice()) {
            updates.push(Update {
                service: spec.service,
                to: spec.version,
                status,
                position: row.map_or(Position::START, |row| row.position),
                tally,
            });
        }
    }
    let own = &app.site.node;
    let before = state.members.alive(now).filter(|member| member.node < *own);
    let rank = before.count() as u32;
    (updates, rank)
}

async fn write(app: &App, update: Update) {
    let key = platform::status_key(&update.service);
    let value = platform::encode_status(&update.to, update.status);
    let write = Write::new(STATUS)
        .expect(&key, update.position)
        .put(&key, value);
    let outcome = format!("{:?}", update.status);
    match app.store.write(&write).await {
        Ok(_) => {
            log::info!(event = 1750, service = update.service.as_str(), to = update.to.as_str(),
            outcome = outcome.as_str(), old = format!("{:?}", update.tally.old).as_str(),
            new = format!("{:?}", update.tally.new).as_str(); "roll-out status written")
        }
        Err(error) => {
            log::warn!(event = 1751, service = update.service.as_str(), to = update.to.as_str(),
            outcome = outcome.as_str(); "roll-out status not written: {error}")
        }
    }
}

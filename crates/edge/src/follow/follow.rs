//! One loop a table: the whole table once, then its changes.

use crate::app::{App, Table, Told};
use crate::backoff::Backoff;
use crate::metrics::Call;
use platform::Error;
use platform::store::Page;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Time for which a call waits for changes. Probes of the connection find one that went silent, so
/// a long wait costs nothing but keeps calls few.
const WAIT: Duration = Duration::from_secs(20);
/// First pause after a failed call; it doubles up to the longest.
const PAUSE: Duration = Duration::from_millis(100);
/// Longest pause: a store that is back is found within it, well inside the time for a change.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// The same for a node that only asks because it hears of none that has the store. It learns from
/// the followers that the store is back; a fleet that asks as one would cost a call a node and table
/// for each of their pauses.
const LONGEST_PAUSE_OF_OTHERS: Duration = Duration::from_millis(2400);
/// Pause between two looks whether this node is to follow: a part of the time for a change.
const FOLLOW_PAUSE: Duration = Duration::from_millis(250);
/// Pause after a change in which further ones gather, so that one call brings them: backend servers
/// come and go in groups.
const GATHER: Duration = Duration::from_millis(100);
/// Pause between two looks at entries that lapsed.
const SWEEP_PAUSE: Duration = Duration::from_millis(100);

/// Pause between two counts of the log lines that were not written.
const COUNT_PAUSE: Duration = Duration::from_secs(1);

/// Follows a table for as long as the node runs.
pub async fn follow(app: Arc<App>, table: Table) {
    let mut backoff = Backoff::new(PAUSE, LONGEST_PAUSE);
    let mut answering = true;
    loop {
        let (position, follows) = {
            let state = app.state();
            let follows = state.follows(Instant::now(), table);
            (state.mirror(table).position(), follows)
        };
        if !follows {
            sleep(FOLLOW_PAUSE).await;
            continue;
        }
        let whole = position.is_none();
        let answer = match position {
            None => app.store.rows(table.name()).await,
            Some(after) => app.store.changes(table.name(), after, WAIT).await,
        };
        let answer = match answer {
            Err(Error::Compacted) => {
                log::warn!(event = 1704, table = table.name(), position = position.unwrap_or(0); "history is gone, reading the whole table");
                app.store.rows(table.name()).await.map(|page| (true, page))
            }
            answer => answer.map(|page| (whole, page)),
        };
        let outcome = if answer.is_ok() { "answered" } else { "failed" };
        let call = Call {
            table: table.name(),
            outcome,
        };
        app.metrics.calls.get_or_create(&call).inc();
        match answer {
            Ok((whole, page)) => {
                if !std::mem::replace(&mut answering, true) {
                    log::info!(event = 1705, table = table.name(); "the store answers again");
                }
                backoff.reset();
                let changes = !page.rows.is_empty();
                take(&app, table, whole, page);
                if changes && table != Table::Intents {
                    sleep(GATHER).await;
                }
            }
            Err(error) => {
                app.state().store_answers(Instant::now(), false);
                if std::mem::replace(&mut answering, false) {
                    log::warn!(event = 1706, table = table.name(); "the store doesn't answer: {error}");
                }
                let follower = app.state().is_follower(Instant::now(), table);
                backoff.set_longest(match follower || whole {
                    true => LONGEST_PAUSE,
                    false => LONGEST_PAUSE_OF_OTHERS,
                });
                backoff.wait().await;
            }
        }
    }
}

/// Takes in an answer and wakes those who wait for a change.
fn take(app: &App, table: Table, whole: bool, page: Page) {
    let now = Instant::now();
    let mut state = app.state();
    let before = state.mirror(table).newest();
    match whole {
        true => state.replace(now, table, page),
        false => state.update(now, table, page),
    }
    let changed = state.mirror(table).newest() != before;
    drop(state);
    if changed {
        app.room.notify_waiters();
        app.news.notify_one();
    }
}

/// Says once a second how many log lines were not written, if there were some.
pub async fn count_lines(app: Arc<App>) {
    let mut known = 0;
    loop {
        sleep(COUNT_PAUSE).await;
        let dropped = app.lines.dropped();
        if dropped != known {
            log::warn!(event = 1790, lines = dropped - known, all = dropped; "log lines were not written");
            known = dropped;
        }
    }
}

/// Forgets backend servers whose entries lapsed, for as long as the node runs.
pub async fn sweep(app: Arc<App>) {
    loop {
        sleep(SWEEP_PAUSE).await;
        let crashes = {
            let mut state = app.state();
            state.sweep(Instant::now());
            state.take_crashes()
        };
        for crash in crashes {
            app.tell(Told::Crash(crash));
        }
    }
}

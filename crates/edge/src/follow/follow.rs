//! One loop a table: the whole table once, then its changes.

use super::Part;
use crate::app::{App, Notice, Table};
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
/// The same for the other tables than the one of what the operator asks for, which finds the store
/// for all of them.
const LONGEST_PAUSE_OF_OTHERS: Duration = Duration::from_millis(3200);
/// Nodes that may ask a lost store for a whole table as often as one alone.
const READERS: f64 = 16.0;
/// Time after the first read of a table in which links open, so that nodes know who follows.
const JOIN_TIME: Duration = Duration::from_millis(400);
/// Longest wait for changes of a node that hears no other one, which may be about to learn who follows.
const LONE_WAIT: Duration = Duration::from_millis(900);
/// Time for which other nodes may tell what stands in a table that a node can serve without.
const TELL_TIME: Duration = Duration::from_millis(600);
/// Pause between two looks whether they have.
const TELL_PAUSE: Duration = Duration::from_millis(50);
/// Pause between two looks whether this node is to follow: a part of the time for a change.
const FOLLOW_PAUSE: Duration = Duration::from_millis(250);
/// Pause after a change in which further ones gather, so that one call brings them: backend servers
/// come and go in groups.
const GATHER: Duration = Duration::from_millis(150);
/// Pause between two looks at entries that lapsed.
const SWEEP_PAUSE: Duration = Duration::from_millis(100);

/// Pause between two counts of the log lines that were not written.
const COUNT_PAUSE: Duration = Duration::from_secs(1);

/// Follows a table for as long as the node runs.
pub async fn follow(app: Arc<App>, table: Table) {
    let mut backoff = Backoff::new(PAUSE, LONGEST_PAUSE);
    let mut answering = true;
    if !app.site.first_start {
        wait_to_be_told(&app, table).await;
    }
    let mut joined = false;
    loop {
        let joins = !joined && app.state().mirror(table).position().is_some();
        joined |= joins;
        let wait = match joins {
            true => join(&app, table).await,
            false => turn(&app, table).await,
        };
        let Some(wait) = wait else {
            continue;
        };
        let answer = call(&app, table, wait).await;
        let outcome = if answer.is_ok() { "answered" } else { "failed" };
        let label = Call {
            table: table.name(),
            outcome,
        };
        app.metrics.store_calls.get_or_create(&label).inc();
        match answer {
            Ok((whole, page)) => {
                if !std::mem::replace(&mut answering, true) {
                    log::info!(event = 1705, table = table.name(); "the store answers again");
                    app.store_back.notify_waiters();
                }
                if wait.is_zero() {
                    app.state().stand_in();
                }
                backoff.reset();
                let changes = !page.rows.is_empty();
                take(&app, table, whole, page);
                if changes && table != Table::Intents {
                    sleep(GATHER).await;
                }
            }
            Err(error) => {
                app.state().lose_store(Instant::now());
                backoff.set_longest(longest_pause(&app, table));
                if std::mem::replace(&mut answering, false) {
                    log::warn!(event = 1706, table = table.name(); "the store doesn't answer: {error}");
                }
                tokio::select! {
                    () = backoff.wait() => (),
                    () = app.store_back.notified() => (),
                }
            }
        }
    }
}

/// What a node does that has just read a table, while links open: it follows by itself what it needs to
/// serve. At the first start nothing happens so early, and all nodes would ask.
async fn join(app: &App, table: Table) -> Option<Duration> {
    if is_needed(table) && !app.site.first_start {
        return Some(JOIN_TIME);
    }
    sleep(JOIN_TIME).await;
    None
}

/// Whether a node needs a table to serve.
fn is_needed(table: Table) -> bool {
    matches!(table, Table::Intents | Table::Servers)
}

/// Waits a little for other nodes to tell a table, where the node can serve without it. Those that all
/// others turn to first don't wait.
async fn wait_to_be_told(app: &App, table: Table) {
    if is_needed(table) || app.site.seeds.contains(&app.site.link) {
        return;
    }
    let begun = Instant::now();
    while begun.elapsed() < TELL_TIME && app.state().mirror(table).position().is_none() {
        sleep(TELL_PAUSE).await;
    }
}

/// Time for which this node's next call is to wait for changes; none when another node is to ask.
async fn turn(app: &App, table: Table) -> Option<Duration> {
    match part(app, table) {
        Part::Follower if is_lone(app) => Some(LONE_WAIT),
        Part::Follower => Some(WAIT),
        Part::StandIn(pause) => {
            sleep(pause).await;
            let still = matches!(part(app, table), Part::StandIn(_));
            still.then_some(Duration::ZERO)
        }
        Part::Learner => {
            sleep(FOLLOW_PAUSE).await;
            None
        }
    }
}

/// Whether this node knows of others, and hears none.
fn is_lone(app: &App) -> bool {
    let state = app.state();
    let mut alive = state.members.alive(Instant::now());
    alive.next().is_none() && state.members.all().next().is_some()
}

fn part(app: &App, table: Table) -> Part {
    app.state().part(Instant::now(), table)
}

/// Longest pause between two calls that fail. Nodes that have yet to read a table are as many as the
/// fleet when all start at once; the first that reads it tells the others.
fn longest_pause(app: &App, table: Table) -> Duration {
    let state = app.state();
    let pause = match table {
        Table::Intents => LONGEST_PAUSE,
        Table::Servers | Table::Members | Table::Status => LONGEST_PAUSE_OF_OTHERS,
    };
    match state.mirror(table).position() {
        Some(_) => pause,
        None => pause.mul_f64(1.0 + state.members.alive(Instant::now()).count() as f64 / READERS),
    }
}

/// Reads the whole table, or changes of it as soon as there are some; whether it is the whole table.
async fn call(app: &App, table: Table, wait: Duration) -> Result<(bool, Page), Error> {
    let position = app.state().mirror(table).position();
    let Some(after) = position else {
        return app.store.rows(table.name()).await.map(|page| (true, page));
    };
    match app.store.changes(table.name(), after, wait).await {
        Err(Error::Compacted) => {
            log::warn!(event = 1704, table = table.name(), position = after; "history is gone, reading the whole table");
            app.store.rows(table.name()).await.map(|page| (true, page))
        }
        answer => answer.map(|page| (false, page)),
    }
}

/// Takes in an answer and wakes those who wait for a change.
fn take(app: &App, table: Table, whole: bool, page: Page) {
    let now = Instant::now();
    let mut state = app.state();
    state.hear_store(now);
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
            app.announce(Notice::Crash(crash));
        }
    }
}

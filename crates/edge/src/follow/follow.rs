//! One loop per table: reads the full table once, then follows its changes.

use super::Role;
use crate::app::{App, Table};
use crate::backoff::Backoff;
use crate::metrics::Call;
use platform::Error;
use platform::store::Page;
use route::{Era, Position};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

/// Time for which a call waits for changes. A long wait saves calls; keepalive probes detect a
/// connection whose peer is gone.
const WAIT: Duration = Duration::from_secs(20);
/// Time for which the lead follower's call waits for changes of the tables that nodes need to serve.
/// It is short, because a connection may fall silent on the way though its peer answers probes. The
/// other nodes learn from the lead.
const LEAD_WAIT: Duration = Duration::from_secs(1);
/// Time after the end of its wait from which a call is overdue and another one, over a connection
/// of its own, may answer in its place.
const OVERDUE: Duration = Duration::from_millis(500);
/// First pause after a failed call; it doubles up to `MAX_PAUSE`.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after a failed call. A store that has recovered is found within it, well within
/// the time allowed for applying a change.
const MAX_PAUSE: Duration = Duration::from_millis(800);
/// Longest pause for the tables other than the operator's orders, whose calls detect the recovery
/// of the store for all of them.
const MAX_PAUSE_OTHER_TABLES: Duration = Duration::from_millis(3200);
/// Limit on the call rate of a fleet that has yet to read a table from an unreachable store, as a
/// number of nodes calling at the longest pause: the pause grows with the fleet.
const MAX_READERS: f64 = 16.0;
/// Time after the first read of a table during which links open, so that nodes learn who follows.
const JOIN_TIME: Duration = Duration::from_millis(400);
/// Longest wait for changes of a node that has no contact to others: it may soon learn who follows.
const ISOLATED_WAIT: Duration = Duration::from_millis(900);
/// Time for which a node waits to learn a table from other nodes if it can serve without the table.
const PEER_WAIT: Duration = Duration::from_millis(600);
/// Interval between checks whether it has learned the table.
const PEER_WAIT_CHECK: Duration = Duration::from_millis(50);
/// Interval between checks whether the node's role has changed: a fraction of the time allowed for
/// applying a change.
const ROLE_CHECK: Duration = Duration::from_millis(250);
/// Pause after a change so that one call returns the changes that follow it: backend servers come
/// and go in groups.
const COALESCE_TIME: Duration = Duration::from_millis(150);
/// Interval between checks for expired entries.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between checks for dropped log lines.
const DROPPED_LINES_CHECK: Duration = Duration::from_secs(1);

/// Follows a table for as long as the node runs.
pub async fn follow(app: Arc<App>, table: Table) {
    let mut backoff = Backoff::new(MIN_PAUSE, MAX_PAUSE);
    let mut answering = true;
    if !app.site.first_start {
        wait_for_peers(&app, table).await;
    }
    let mut joined = false;
    loop {
        let just_read = !joined && app.state().mirror(table).position().is_some();
        joined |= just_read;
        let wait = match just_read {
            true => wait_after_first_read(&app, table).await,
            false => next_wait(&app, table).await,
        };
        let Some(wait) = wait else {
            continue;
        };
        let started = Instant::now();
        let answer = call(&app, table, wait).await;
        let outcome = match &answer {
            Ok(_) => "answered",
            Err(Error::Outdated { .. }) => "outdated",
            Err(_) => "failed",
        };
        let label = Call {
            table: table.name(),
            outcome,
        };
        app.metrics.store_calls.get_or_create(&label).inc();
        match answer {
            Ok((full, page)) => {
                if !std::mem::replace(&mut answering, true) {
                    log::info!(event = 1705, table = table.name(); "store answers again");
                    app.store_recovered.notify_waiters();
                }
                if wait.is_zero() {
                    app.state().become_fallback();
                }
                let changes = !page.rows.is_empty();
                let before = app.state().mirror(table).position();
                apply(&app, table, full, page, started);
                if full && app.state().mirror(table).position() <= before {
                    // The next call would find the same gap in the change history.
                    backoff.set_max_delay(MAX_PAUSE);
                    backoff.wait().await;
                    continue;
                }
                backoff.reset();
                if changes && table != Table::Intents {
                    sleep(COALESCE_TIME).await;
                }
            }
            Err(error) => {
                app.state().record_store_failure(Instant::now());
                backoff.set_max_delay(max_pause(&app, table));
                if std::mem::replace(&mut answering, false) {
                    log::warn!(event = 1706, table = table.name(), waited_ms = started.elapsed().as_millis() as u64;
                        "store does not answer: {error}");
                }
                tokio::select! {
                    () = backoff.wait() => (),
                    () = app.store_recovered.notified() => (),
                }
            }
        }
    }
}

/// Chooses the wait right after the first read of a table, while links open: the node itself
/// follows the tables that it needs to serve. At the first start of the system there are no changes
/// this early, and all nodes would call the store at once, so the node makes no call then.
async fn wait_after_first_read(app: &App, table: Table) -> Option<Duration> {
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

/// Waits for other nodes to send a table, if this node can serve without it. Seed nodes, which all
/// others contact first, don't wait.
async fn wait_for_peers(app: &App, table: Table) {
    if is_needed(table) || app.site.seeds.contains(&app.site.link_address) {
        return;
    }
    let start = Instant::now();
    while start.elapsed() < PEER_WAIT && app.state().mirror(table).position().is_none() {
        sleep(PEER_WAIT_CHECK).await;
    }
}

/// Time for which this node's next call waits for changes; none when other nodes follow the table.
async fn next_wait(app: &App, table: Table) -> Option<Duration> {
    match role(app, table) {
        Role::Follower => Some(follower_wait(app, table)),
        Role::Fallback(pause) => {
            sleep(pause).await;
            let still_fallback = matches!(role(app, table), Role::Fallback(_));
            still_fallback.then_some(Duration::ZERO)
        }
        Role::Learner => {
            sleep(ROLE_CHECK).await;
            None
        }
    }
}

/// Time for which a follower's call waits for changes.
fn follower_wait(app: &App, table: Table) -> Duration {
    if is_isolated(app) {
        return ISOLATED_WAIT;
    }
    match is_needed(table) && is_lead(app) {
        true => LEAD_WAIT,
        false => WAIT,
    }
}

/// Whether this node knows other nodes but has no contact to any.
fn is_isolated(app: &App) -> bool {
    let state = app.state();
    let mut alive = state.members.alive(Instant::now());
    alive.next().is_none() && state.members.all().next().is_some()
}

/// Whether this node is the first of those that follow the store.
fn is_lead(app: &App) -> bool {
    app.state().is_lead_follower(Instant::now())
}

fn role(app: &App, table: Table) -> Role {
    app.state().follow_role(Instant::now(), table)
}

/// Longest pause between two failing calls. When all nodes start at once, all of them have yet to
/// read the table, so the pause grows with the fleet; the first node that reads it sends it to the
/// others.
fn max_pause(app: &App, table: Table) -> Duration {
    let state = app.state();
    let pause = match table {
        Table::Intents => MAX_PAUSE,
        Table::Servers | Table::Members | Table::Status => MAX_PAUSE_OTHER_TABLES,
    };
    match state.mirror(table).position() {
        Some(_) => pause,
        None => {
            pause.mul_f64(1.0 + state.members.alive(Instant::now()).count() as f64 / MAX_READERS)
        }
    }
}

/// Reads the full table the first time, and waits for its changes afterwards. Returns whether the
/// page is the full table.
async fn call(app: &App, table: Table, wait: Duration) -> Result<(bool, Page), Error> {
    let position = app.state().mirror(table).position();
    let Some(after) = position else {
        return app.store.rows(table.name()).await.map(|page| (true, page));
    };
    match changes(app, table, after, wait).await {
        Ok(page) => return Ok((false, page)),
        Err(Error::Restored(era)) => {
            log::warn!(event = 1781, table = table.name(), position = after.number, before = after.era,
                era = era; "the store was restored, reading the full table");
        }
        Err(Error::Compacted) => {
            log::warn!(event = 1704, table = table.name(), position = after.number, era = after.era;
                "change history has been compacted, reading the full table");
        }
        Err(error) => return Err(error),
    }
    let page = app.store.rows(table.name()).await?;
    log::warn!(event = 1780, table = table.name(), before = after.number, position = page.position.number,
        era = page.position.era, rows = page.rows.len(); "full table read after a gap in the change history");
    Ok((true, page))
}

/// Waits for changes. When the answer is overdue, a second call asks for them over another
/// connection, and the first answer counts. A node that becomes the lead or isolated meanwhile waits
/// no longer than a call that it would begin now. A position of an earlier era of the store is an error,
/// also when the answer to another call has named the later era.
async fn changes(app: &App, table: Table, after: Position, wait: Duration) -> Result<Page, Error> {
    let first = app.store.changes(table.name(), after, wait);
    tokio::pin!(first);
    let started = Instant::now();
    let mut due = wait;
    while started.elapsed() < due + OVERDUE {
        check_era(after, app.store.era().max(after.era))?;
        let left = (due + OVERDUE).saturating_sub(started.elapsed());
        if let Ok(answer) = timeout(left.min(ROLE_CHECK), &mut first).await {
            return answer.and_then(|page| check_era(after, page.position.era).map(|()| page));
        }
        due = wait.min(follower_wait(app, table));
    }
    log::warn!(event = 1791, table = table.name(), wait_ms = due.as_millis() as u64;
        "the answer of the store is overdue, asking over another connection");
    let page = tokio::select! {
        answer = first => answer,
        answer = app.store.changes(table.name(), after, Duration::ZERO) => answer,
    }?;
    check_era(after, page.position.era).map(|()| page)
}

/// Checks that changes of an era of the store follow a position. The position may be of a later era, of
/// which another node has told.
fn check_era(after: Position, era: Era) -> Result<(), Error> {
    if after.is_continued_in(era) {
        return Ok(());
    }
    Err(match era > after.era {
        true => Error::Restored(era),
        false => Error::Outdated {
            found: Some(era),
            known: after.era,
        },
    })
}

/// Applies the page of a call and wakes the tasks that wait for a change.
fn apply(app: &App, table: Table, full: bool, page: Page, started: Instant) {
    let now = Instant::now();
    let mut state = app.state();
    state.record_store_answer(started, now);
    let before = state.mirror(table).newest();
    match full {
        true => state.replace(now, table, page),
        false => state.update(now, table, page),
    }
    let changed = state.mirror(table).newest() != before;
    drop(state);
    if changed {
        app.capacity_changed.notify_waiters();
        app.heartbeat_requested.notify_one();
    }
}

/// Logs once a second how many log lines were dropped, if any.
pub async fn report_dropped_lines(app: Arc<App>) {
    let mut known = 0;
    loop {
        sleep(DROPPED_LINES_CHECK).await;
        let dropped = app.log_counts.count();
        if dropped != known {
            log::warn!(event = 1790, lines = dropped - known, all = dropped; "log lines were dropped");
            known = dropped;
        }
    }
}

/// Removes backend servers whose entries expired, and announces crashes, for as long as the node
/// runs.
pub async fn sweep(app: Arc<App>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        let notices = {
            let mut state = app.state();
            state.sweep(Instant::now());
            state.take_notices()
        };
        for notice in notices {
            app.announce(notice);
        }
    }
}

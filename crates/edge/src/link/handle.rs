//! Handling of incoming frames.

use super::frame::{self, Frame, Heartbeat, Notices, decode_presence};
use crate::app::{Announcement, App, Notice, State, Table, Update};
use contract::Map;
use platform::store::Page;
use route::pool::Load;
use route::reach::Path;
use route::relay::{LinkId, Presence, Role, Scope};
use route::rollout::{Count, Tally, Trial};
use route::{NodeName, Position};
use std::time::{Duration, Instant};
use tokio_tungstenite::tungstenite::Message;

/// Handles a frame of a node; returns the frames to answer with.
pub fn handle(app: &App, peer: &NodeName, frame: Frame) -> Vec<Message> {
    let answers = match frame {
        // Only the first frame on a link is a hello, and `run` has handled it.
        Frame::Hello(_) => Vec::new(),
        Frame::Heartbeat(heartbeat) => handle_heartbeat(app, peer, heartbeat),
        Frame::Presences(presences) => {
            handle_presences(
                app,
                peer,
                presences.into_iter().map(decode_presence).collect(),
            );
            Vec::new()
        }
        Frame::Notices(notices) => {
            handle_notices(app, peer, notices);
            Vec::new()
        }
        Frame::Fetch { table, after, era } => {
            let after = Position { era, number: after };
            return table_at(table)
                .and_then(|table| encode_rows(app, table, after))
                .into_iter()
                .collect();
        }
        Frame::Rows {
            table,
            full,
            position,
            era,
            rows,
        } => {
            if let Some(table) = table_at(table) {
                let rows = rows.into_iter().map(|change| change.into_row(era));
                let page = Page {
                    rows: rows.collect(),
                    position: Position {
                        era,
                        number: position,
                    },
                    ..Page::default()
                };
                handle_rows(app, table, Update { full, page });
            }
            Vec::new()
        }
        // Decoding has decompressed it.
        Frame::Compressed(_) => Vec::new(),
    };
    answers.iter().filter_map(Frame::encode).collect()
}

/// Applies rows from another node; new ones trigger a heartbeat, from which the nodes that learn
/// them from this one see that they lack them.
fn handle_rows(app: &App, table: Table, update: Update) {
    let mut state = app.state();
    let before = state.mirror(table).newest();
    state.merge(Instant::now(), table, update);
    let changed = state.mirror(table).newest() != before;
    drop(state);
    app.capacity_changed.notify_waiters();
    if changed {
        app.heartbeat_requested.notify_one();
    }
}

/// Encodes the rows that another node lacks of a table. Many nodes request the same change at once,
/// so the last frame is cached: compressing a large one takes long on a small VM.
fn encode_rows(app: &App, table: Table, after: Position) -> Option<Message> {
    let mut state = app.state();
    let position = state.mirror(table).position()?;
    let key = (table, after, position);
    if let Some((cached, message)) = &state.last_rows
        && *cached == key
    {
        return Some(message.clone());
    }
    let update = state.mirror(table).changes_since(after)?;
    let message = Frame::rows(table as u8, update).encode()?;
    state.last_rows = Some((key, message.clone()));
    Some(message)
}

fn table_at(index: u8) -> Option<Table> {
    Table::ALL.get(usize::from(index)).copied()
}

/// Handles a heartbeat; returns requests for the changes that the sender knows and this node lacks.
fn handle_heartbeat(app: &App, peer: &NodeName, heartbeat: Heartbeat) -> Vec<Frame> {
    let now = Instant::now();
    let mut state = app.state();
    let state = &mut *state;
    let role = Role::from(heartbeat.role);
    let listed = state.relays.presences(peer).len();
    if let Some(before) = state.relays.record_heartbeat(now, peer, role) {
        log::info!(event = 1783, peer = peer.as_str(), before = format!("{before:?}").as_str(),
            scope = format!("{:?}", role.scope).as_str(), listed = listed; "another node reports on other nodes than before");
    }
    let presence = Presence {
        tag: Presence::tag(peer),
        ready: heartbeat.ready,
        follows_store: heartbeat.follows_store,
        reaches_servers: !heartbeat.is_cut,
        names_era: heartbeat.names_era(),
    };
    let mut changed = state.members.record_heartbeat(now, peer, presence);
    changed |= state
        .members
        .merge_presences(now, peer, state.relays.presences(peer));
    if changed && state.relays.is_relay() {
        app.heartbeat_requested.notify_one();
    }
    merge_work(state, now, peer, &heartbeat);
    let mut fetches = Vec::new();
    for table in Table::ALL {
        if let Some(after) = state.start_fetch(now, table, heartbeat.newest(table)) {
            let table = table as u8;
            fetches.push(Frame::Fetch {
                table,
                after: after.number,
                era: after.era,
            });
        }
    }
    fetches
}

/// Merges the load and the roll-out counts that a node reports, unless another node reports the
/// same. Reports for the whole fleet include what this node has reported, which is subtracted.
fn merge_work(state: &mut State, now: Instant, peer: &NodeName, heartbeat: &Heartbeat) {
    if !state.relays.accepts_reports(peer) {
        state.pool.set_remote_loads(peer, Map::default());
        for trial in state.trials.values_mut() {
            trial.remove_report(peer);
        }
        return;
    }
    let includes_own = Role::from(heartbeat.role).scope == Scope::Fleet;
    let mut loads: Map<_, Load> = Map::default();
    for (tag, load) in &heartbeat.loads {
        let own = state.reported_loads.get(tag).filter(|_| includes_own);
        let load = Load::from(*load);
        let others = own.map_or(load, |own| load.minus(*own));
        loads.insert(*tag, others);
    }
    state.pool.set_remote_loads(peer, loads);
    for report in &heartbeat.trials {
        let own = state.reported_tallies.get(&report.service);
        let own = own.filter(|_| includes_own).copied().unwrap_or_default();
        if let Some(trial) = state.trials.get_mut(&report.service) {
            merge_trial(trial, now, peer, report, own);
        }
    }
}

fn merge_trial(
    trial: &mut Trial,
    now: Instant,
    peer: &NodeName,
    report: &frame::Trial,
    own: Tally,
) {
    if trial.spec.version != report.to {
        return;
    }
    let count = |[sent, known, bad, timed, slow]: [u32; 5]| Count {
        sent,
        known,
        bad,
        timed,
        slow,
    };
    let tally = Tally {
        old: count(report.old),
        new: count(report.new),
    };
    trial.set_report(peer, tally.minus(own));
    trial.merge_age(now, Duration::from_millis(report.age_ms));
}

/// Handles the list of nodes that a peer knows to be alive.
fn handle_presences(app: &App, peer: &NodeName, presences: Vec<Presence>) {
    let now = Instant::now();
    let mut state = app.state();
    let state = &mut *state;
    let gone = state.relays.set_presences(peer, presences);
    let lost = drop_unreachable(state, now, &gone);
    let changed = state
        .members
        .merge_presences(now, peer, state.relays.presences(peer));
    if (changed || lost) && state.relays.is_relay() {
        app.heartbeat_requested.notify_one();
    }
}

/// Marks nodes as lost that dropped out of a peer's list, unless another link reaches them; returns
/// whether there are any.
fn drop_unreachable(state: &mut State, now: Instant, gone: &[Presence]) -> bool {
    let names = gone
        .iter()
        .filter_map(|presence| state.members.by_tag(presence.tag));
    let lost: Vec<_> = names
        .filter(|name| !state.relays.is_reachable(now, name))
        .cloned()
        .collect();
    for name in &lost {
        state.members.mark_lost(name);
    }
    !lost.is_empty()
}

/// Handles the end of a link: nodes that no other link reaches count as lost until they are heard
/// from again.
pub fn close_link(app: &App, peer: &NodeName, id: LinkId, reason: &str) {
    let now = Instant::now();
    let mut state = app.state();
    let state = &mut *state;
    let Some(mut gone) = state.relays.remove_link(peer, id) else {
        return;
    };
    log::info!(event = 1710, peer = peer.as_str(); "link closed: {reason}");
    if !gone.is_empty() {
        // Another relay reports for these nodes from now on.
        for trial in state.trials.values_mut() {
            trial.remove_report(peer);
        }
    }
    gone.push(Presence {
        tag: Presence::tag(peer),
        ready: false,
        follows_store: false,
        reaches_servers: true,
        names_era: true,
    });
    state.pool.set_remote_loads(peer, Map::default());
    drop_unreachable(state, now, &gone);
    app.heartbeat_requested.notify_one();
}

/// Applies notices and forwards those that are new: duplicates would multiply if they were
/// forwarded.
fn handle_notices(app: &App, peer: &NodeName, mut notices: Notices) {
    let blocks = notices.take_blocks();
    let now = Instant::now();
    let mut state = app.state();
    let mut unknown = Vec::new();
    for assignment in notices.assignments {
        if state
            .sessions
            .record_remote(now, &assignment.0, &assignment.1)
        {
            unknown.push(Notice::Assignment(assignment));
        }
    }
    for crash in notices.crashes {
        if state
            .suspects
            .record_crash(now, &crash.0, &crash.1, Duration::ZERO)
        {
            unknown.push(Notice::Crash(crash));
        }
    }
    for (server, started_ms) in notices.departures {
        if state.pool.record_leaving(&server, started_ms) {
            log::info!(event = 1798, server = server.as_str(), peer = peer.as_str(); "another node reports that a backend server is leaving");
            unknown.push(Notice::Departure(server, started_ms));
        }
    }
    let namings = notices.namings.into_iter();
    for naming in namings.filter_map(|naming| naming.decode(now)) {
        if state.record_naming(now, &naming) {
            unknown.push(Notice::Naming(naming));
        }
    }
    // Crashes on the parts of one request arrive together.
    let crashes = notices
        .part_crashes
        .chunk_by(|one, next| one.1 == next.1 && one.2 == next.2);
    for crash in crashes {
        let (request, server) = (crash[0].1, &crash[0].2);
        let parts = crash.iter().map(|(part, ..)| *part).collect();
        let new = state.record_part_crash(now, parts, request, server);
        if !new.is_empty() {
            unknown.push(Notice::PartCrash(new, request, server.clone()));
        }
    }
    for block in blocks {
        if let Some(block) = state.record_part_block(now, &block) {
            unknown.push(Notice::PartBlock(block));
        }
    }
    for part in notices.part_answers {
        if state.poison.record_answer(now, part) {
            unknown.push(Notice::PartAnswer(part));
        }
    }
    drop(state);
    for notice in unknown {
        app.publish(Announcement {
            from: Some(peer.clone()),
            notice,
        });
    }
}

fn encode_trial(trial: &Trial, now: Instant, tally: Tally) -> frame::Trial {
    let counts = |count: Count| [count.sent, count.known, count.bad, count.timed, count.slow];
    frame::Trial {
        service: trial.spec.service.clone(),
        to: trial.spec.version.clone(),
        age_ms: trial.age(now).as_millis() as u64,
        old: counts(tally.old),
        new: counts(tally.new),
    }
}

/// Creates the heartbeat for links of one role.
pub fn heartbeat(app: &App, now: Instant, role: Role) -> Frame {
    let mut state = app.state();
    let state = &mut *state;
    let mut heartbeat = Heartbeat::default();
    heartbeat.role = role.into();
    heartbeat.ready = state.ready();
    heartbeat.follows_store = state.follows_store(now);
    heartbeat.set_newest(Table::ALL.map(|table| state.mirror(table).newest()));
    heartbeat.is_cut = state.reach.path() == Path::Lost;
    if role.attached && !role.primary {
        // The primary relay reports this node's load.
        return Frame::Heartbeat(heartbeat);
    }
    let relays = &state.relays;
    let included = |node: &str| relays.is_reported(now, role.scope, node);
    let loads = state.pool.loads_with(included);
    let mut tallies = Map::default();
    for (service, trial) in &state.trials {
        let tally = trial.tally_with(included);
        heartbeat.trials.push(encode_trial(trial, now, tally));
        tallies.insert(service.clone(), tally);
    }
    heartbeat.loads = loads
        .iter()
        .map(|(tag, load)| (*tag, (*load).into()))
        .collect();
    if role.primary {
        state.reported_loads = loads;
        state.reported_tallies = tallies;
    }
    Frame::Heartbeat(heartbeat)
}

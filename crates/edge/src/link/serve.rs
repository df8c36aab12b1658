//! What a node does with a frame.

use super::frame::{self, Beat, Frame};
use crate::app::{App, Crash, State, Stay, Table, Told};
use platform::store::Row;
use route::pool::Load;
use route::rollout::{Count, Tally, Trial};
use route::{NodeName, ServerId};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tokio::sync::broadcast::Receiver;
use tokio::sync::broadcast::error::TryRecvError;

/// Takes in a frame; gives the answers to it.
pub fn serve(app: &App, frame: Frame) -> Vec<Frame> {
    match frame {
        Frame::Beat(beat) => hear(app, beat),
        Frame::Fetch { table, after } => match table_of(table) {
            Some(known) => vec![Frame::rows(table, app.state().mirror(known).since(after))],
            None => Vec::new(),
        },
        Frame::Rows { table, rows } => {
            if let Some(table) = table_of(table) {
                let rows = rows.into_iter().map(Row::from).collect();
                app.state().learn(Instant::now(), table, rows);
                app.room.notify_waiters();
            }
            Vec::new()
        }
    }
}

fn table_of(index: u8) -> Option<Table> {
    Table::ALL.get(usize::from(index)).copied()
}

/// Takes in a beat; asks for what the sender knows and this node doesn't.
fn hear(app: &App, beat: Beat) -> Vec<Frame> {
    let now = Instant::now();
    let mut state = app.state();
    let known = state.members.add(beat.member());
    state.members.hear(now, &beat.node, beat.ready);
    let loads = beat.loads.into_iter().map(|(id, (requests, tokens))| {
        let tokens = tokens as f64;
        (id, Load { requests, tokens })
    });
    let loads = loads.collect();
    state.pool.set_others(&beat.node, &loads);
    for trial in &beat.trials {
        hear_trial(&mut state, now, &beat.node, trial);
    }
    for (session, version) in &beat.stays {
        state.sessions.note(now, session, version);
    }
    for (fingerprint, server) in &beat.crashes {
        state
            .suspects
            .crash(now, fingerprint, server, Duration::ZERO);
    }
    if known {
        app.news.notify_waiters();
    }
    let behind = Table::ALL.into_iter().filter(|&table| {
        let mirror = state.mirror(table);
        beat.newest[table as usize] > mirror.newest().max(mirror.position().unwrap_or(0))
    });
    behind
        .map(|table| Frame::Fetch {
            table: table as u8,
            after: state.mirror(table).position().unwrap_or(0),
        })
        .collect()
}

fn hear_trial(state: &mut State, now: Instant, node: &NodeName, told: &frame::Trial) {
    let Some(trial) = state.trials.get_mut(&told.service) else {
        return;
    };
    if trial.order.to != told.to {
        return;
    }
    let count = |[sent, known, bad]: [u32; 3]| Count { sent, known, bad };
    let tally = Tally {
        old: count(told.old),
        new: count(told.new),
    };
    trial.hear(node, tally);
    trial.known_for(now, Duration::from_millis(told.age_ms));
}

fn tell_loads(state: &State) -> BTreeMap<ServerId, (u32, u64)> {
    let loads = state.pool.loads();
    loads
        .map(|(id, load)| (id.clone(), (load.requests, load.tokens as u64)))
        .collect()
}

fn tell_trial(trial: &Trial, now: Instant) -> frame::Trial {
    let counts = |count: Count| [count.sent, count.known, count.bad];
    let own = trial.own();
    frame::Trial {
        service: trial.order.service.clone(),
        to: trial.order.to.clone(),
        age_ms: trial.age(now).as_millis() as u64,
        old: counts(own.old),
        new: counts(own.new),
    }
}

/// Words for another node that it hasn't been told of.
#[derive(Debug, Default)]
pub struct Words {
    stays: Vec<Stay>,
    crashes: Vec<Crash>,
}

impl Words {
    /// All that is known.
    pub fn all(app: &App) -> Self {
        let now = Instant::now();
        let state = app.state();
        let crashes = state.suspects.known(now);
        Self {
            stays: state.sessions.all(now),
            crashes: crashes
                .map(|(fingerprint, server, _)| (fingerprint.clone(), server.clone()))
                .collect(),
        }
    }

    /// What came since the last time.
    pub fn news(app: &App, told: &mut Receiver<Told>) -> Self {
        let mut words = Self::default();
        loop {
            match told.try_recv() {
                Ok(Told::Stay(stay)) => words.stays.push(stay),
                Ok(Told::Crash(crash)) => words.crashes.push(crash),
                Err(TryRecvError::Lagged(_)) => return Self::all(app),
                Err(TryRecvError::Empty | TryRecvError::Closed) => return words,
            }
        }
    }
}

/// What this node tells of itself.
pub fn beat(app: &App, words: Words) -> Frame {
    let state = app.state();
    let member = app.member();
    let now = Instant::now();
    Frame::Beat(Beat {
        node: member.node,
        zone: member.zone,
        requests: member.requests,
        link: member.link,
        ready: state.ready(),
        newest: Table::ALL.map(|table| state.mirror(table).newest()),
        loads: tell_loads(&state),
        trials: state
            .trials
            .values()
            .map(|trial| tell_trial(trial, now))
            .collect(),
        stays: words.stays,
        crashes: words.crashes,
    })
}

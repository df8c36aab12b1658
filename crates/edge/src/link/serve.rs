//! What a node does with a frame.

use super::frame::{self, Beat, Frame};
use crate::app::{App, Copy, Crash, State, Stay, Table, Told};
use platform::store::{Page, Row};
use route::member::Member;
use route::pool::Tag;
use route::rollout::{Count, Tally, Trial};
use route::{NodeName, Position};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tokio::sync::broadcast::Receiver;
use tokio::sync::broadcast::error::TryRecvError;
use tokio_tungstenite::tungstenite::Message;

/// Takes in a frame of a node, whose name its first frame tells; gives the answers to it.
pub fn serve(app: &App, peer: &mut Option<NodeName>, frame: Frame) -> Vec<Message> {
    let answers = match frame {
        Frame::Hello(hello) => {
            let member = Member::from(hello);
            *peer = Some(member.node.clone());
            if app.state().members.add(member) {
                app.news.notify_one();
            }
            Vec::new()
        }
        Frame::Beat(beat) => match peer {
            Some(node) => hear(app, node, beat),
            None => Vec::new(),
        },
        Frame::Fetch { table, after } => {
            return table_of(table)
                .and_then(|table| tell_rows(app, table, after))
                .into_iter()
                .collect();
        }
        Frame::Rows {
            table,
            whole,
            position,
            rows,
        } => {
            if let Some(table) = table_of(table) {
                let page = Page {
                    rows: rows.into_iter().map(Row::from).collect(),
                    position,
                    ..Page::default()
                };
                app.state()
                    .learn(Instant::now(), table, Copy { whole, page });
                app.room.notify_waiters();
            }
            Vec::new()
        }
        // Decoding unpacks it.
        Frame::Packed(_) => Vec::new(),
    };
    answers.iter().filter_map(Frame::encode).collect()
}

/// What another node lacks of a table. Many ask for the same change at once: the last answer is
/// kept, since packing a large one takes a small VM long.
fn tell_rows(app: &App, table: Table, after: Position) -> Option<Message> {
    let mut state = app.state();
    let position = state.mirror(table).position()?;
    let asked = (table, after, position);
    if let Some((known, message)) = &state.last_rows
        && *known == asked
    {
        return Some(message.clone());
    }
    let copy = state.mirror(table).since(after)?;
    let message = Frame::rows(table as u8, copy).encode()?;
    state.last_rows = Some((asked, message.clone()));
    Some(message)
}

fn table_of(index: u8) -> Option<Table> {
    Table::ALL.get(usize::from(index)).copied()
}

/// Takes in a beat; asks for what the sender knows and this node doesn't.
fn hear(app: &App, node: &NodeName, beat: Beat) -> Vec<Frame> {
    let now = Instant::now();
    let mut state = app.state();
    state.members.hear(now, node, beat.ready, beat.follows);
    let loads = beat.loads.into_iter().map(|(tag, load)| (tag, load.into()));
    state.pool.set_others(node, loads.collect());
    for trial in &beat.trials {
        hear_trial(&mut state, now, node, trial);
    }
    for (session, version) in &beat.stays {
        state.sessions.learn(now, session, version);
    }
    for (fingerprint, server) in &beat.crashes {
        state
            .suspects
            .crash(now, fingerprint, server, Duration::ZERO);
    }
    let mut fetches = Vec::new();
    for table in Table::ALL {
        if let Some(after) = state.lacks(now, table, beat.newest[table as usize]) {
            let table = table as u8;
            fetches.push(Frame::Fetch { table, after });
        }
    }
    fetches
}

fn hear_trial(state: &mut State, now: Instant, node: &NodeName, told: &frame::Trial) {
    let Some(trial) = state.trials.get_mut(&told.service) else {
        return;
    };
    if trial.order.to != told.to {
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
        old: count(told.old),
        new: count(told.new),
    };
    trial.hear(node, tally);
    trial.known_for(now, Duration::from_millis(told.age_ms));
}

fn tell_loads(state: &State) -> BTreeMap<Tag, frame::Load> {
    let loads = state.pool.loads();
    loads.map(|(tag, load)| (tag, load.into())).collect()
}

fn tell_trial(trial: &Trial, now: Instant) -> frame::Trial {
    let counts = |count: Count| [count.sent, count.known, count.bad, count.timed, count.slow];
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
    /// What a node is to hear that has just opened a link, or is behind.
    pub fn whole(app: &App) -> Self {
        let now = Instant::now();
        let state = app.state();
        let crashes = state.suspects.known(now);
        Self {
            stays: state.sessions_to_tell(now),
            crashes: crashes
                .map(|(fingerprint, server, _)| (fingerprint.clone(), server.clone()))
                .collect(),
        }
    }

    /// What came since the last time.
    pub fn news(app: &App, told: &mut Receiver<Told>) -> Self {
        let mut words = Self {
            stays: app.state().take_recalled(Instant::now()),
            crashes: Vec::new(),
        };
        loop {
            match told.try_recv() {
                Ok(Told::Stay(stay)) => words.stays.push(stay),
                Ok(Told::Crash(crash)) => words.crashes.push(crash),
                Err(TryRecvError::Lagged(_)) => return Self::whole(app),
                Err(TryRecvError::Empty | TryRecvError::Closed) => return words,
            }
        }
    }
}

/// What this node tells of itself.
pub fn beat(app: &App, words: Words) -> Frame {
    let state = app.state();
    let now = Instant::now();
    Frame::Beat(Beat {
        ready: state.ready(),
        follows: state.follows(now),
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

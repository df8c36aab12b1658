//! What a node does with a frame.

use super::frame::{Beat, Frame};
use crate::app::{App, Table};
use platform::store::{Page, Row};
use std::time::Instant;

/// Takes in a frame; gives the answers to it.
pub fn serve(app: &App, frame: Frame) -> Vec<Frame> {
    match frame {
        Frame::Beat(beat) => hear(app, beat),
        Frame::Fetch { table, after } => match table_of(table) {
            Some(known) => vec![Frame::rows(table, app.state().mirror(known).since(after))],
            None => Vec::new(),
        },
        Frame::Rows {
            table,
            position,
            rows,
        } => {
            if let Some(table) = table_of(table) {
                let rows = rows.into_iter().map(Row::from).collect();
                let page = Page {
                    rows,
                    position,
                    ..Page::default()
                };
                take(app, table, page);
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
    let loads = beat.loads.into_iter().collect();
    state.pool.set_others(&beat.node, &loads);
    if known {
        app.news.notify_waiters();
    }
    let behind = Table::ALL.into_iter().filter(|&table| {
        let mirror = state.mirror(table);
        beat.newest[table as usize] > mirror.newest().max(mirror.position())
    });
    behind
        .map(|table| Frame::Fetch {
            table: table as u8,
            after: state.mirror(table).position(),
        })
        .collect()
}

fn take(app: &App, table: Table, page: Page) {
    app.state().update_from_peer(Instant::now(), table, page);
    app.room.notify_waiters();
}

/// What this node tells of itself.
pub fn beat(app: &App) -> Frame {
    let state = app.state();
    let member = app.member();
    Frame::Beat(Beat {
        node: member.node,
        zone: member.zone,
        requests: member.requests,
        link: member.link,
        ready: state.ready(),
        newest: Table::ALL.map(|table| state.mirror(table).newest()),
        loads: state.pool.loads().into_iter().collect(),
    })
}

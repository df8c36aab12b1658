//! Announcements to be sent over a link.

use super::frame::{Frame, Naming, Notices};
use crate::app::{Announcement, App, Notice};
use route::NodeName;
use route::relay::{Role, Scope};
use std::time::Instant;
use tokio::sync::broadcast::Receiver;
use tokio::sync::broadcast::error::TryRecvError;

/// Where a link leads in the overlay of relays.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direction {
    /// To the primary relay of this node.
    Up,
    /// To another relay.
    Across,
    /// To a node that is attached to this one.
    Down,
}

/// Announcements for the node at the other end of a link.
#[derive(Debug)]
pub struct Outbox {
    peer: NodeName,
    announcements: Receiver<Announcement>,
    /// Whether the node has been sent all that is known.
    synced: bool,
}

impl Outbox {
    /// Creates the outbox of a new link.
    pub fn new(app: &App, peer: NodeName) -> Self {
        Self {
            peer,
            announcements: app.announcements.subscribe(),
            synced: false,
        }
    }

    /// Takes the announcements since the last call, or all that is known at the first call. While
    /// the link's role sends no announcements, they stay queued.
    pub fn take(&mut self, app: &App, now: Instant, role: Role) -> Option<Frame> {
        let direction = direction(app, now, &self.peer, role)?;
        let notices = match std::mem::replace(&mut self.synced, true) {
            false => {
                self.announcements = self.announcements.resubscribe();
                all_known(app, now, direction)
            }
            true => self.drain(app, now, direction),
        };
        (notices != Notices::default()).then_some(Frame::Notices(notices))
    }

    fn drain(&mut self, app: &App, now: Instant, direction: Direction) -> Notices {
        let mut notices = Notices::default();
        loop {
            let announcement = match self.announcements.try_recv() {
                Ok(announcement) => announcement,
                Err(TryRecvError::Lagged(_)) => return all_known(app, now, direction),
                Err(TryRecvError::Empty | TryRecvError::Closed) => return notices,
            };
            if !self.is_forwarded(app, now, direction, announcement.from.as_ref()) {
                continue;
            }
            match announcement.notice {
                Notice::Assignment(assignment) => notices.assignments.push(assignment),
                Notice::Crash(crash) => notices.crashes.push(crash),
                Notice::PartCrash(parts, request, server) => {
                    let crashes = parts
                        .into_iter()
                        .map(|part| (part, request, server.clone()));
                    notices.part_crashes.extend(crashes);
                }
                Notice::Departure(server, started_ms) => {
                    notices.departures.push((server, started_ms));
                }
                Notice::Naming(naming) => notices.namings.push(Naming::encode(&naming, now)),
                Notice::PartBlock(block) => notices.push_block(block),
                Notice::PartAnswer(part) => notices.part_answers.push(part),
            }
        }
    }

    /// Whether an announcement goes in a direction; `from` is the node that sent it, none for this
    /// node. Announcements of other groups go only to attached nodes, so that none comes back.
    fn is_forwarded(
        &self,
        app: &App,
        now: Instant,
        direction: Direction,
        from: Option<&NodeName>,
    ) -> bool {
        let Some(from) = from else {
            return true;
        };
        match direction {
            Direction::Up => false,
            Direction::Across => app.state().relays.is_reported(now, Scope::Group, from),
            Direction::Down => *from != self.peer,
        }
    }
}

fn direction(app: &App, now: Instant, peer: &str, role: Role) -> Option<Direction> {
    match role.scope {
        Scope::Own => role.primary.then_some(Direction::Up),
        Scope::Group => Some(Direction::Across),
        Scope::Fleet => {
            (app.state().relays.attachment(now, peer) == Some(true)).then_some(Direction::Down)
        }
    }
}

/// All notices to send to a newly linked node.
fn all_known(app: &App, now: Instant, direction: Direction) -> Notices {
    let state = app.state();
    let crashes = state.suspects.crashes(now);
    let mut notices = Notices {
        assignments: state.sessions_for_peer(now, direction != Direction::Up),
        crashes: crashes
            .map(|(fingerprint, server, _)| (fingerprint.clone(), server.clone()))
            .collect(),
        departures: state
            .pool
            .departures()
            .map(|(server, started_ms)| (server.clone(), started_ms))
            .collect(),
        namings: state
            .pool
            .namings()
            .map(|naming| Naming::encode(&naming, now))
            .collect(),
        ..Notices::default()
    };
    for block in state.poison.blocks(now) {
        notices.push_block(block);
    }
    notices
}

//! Announcements, and whom a link passes them on to.

use super::frame::{Frame, Notices};
use crate::app::{Announcement, App, Notice};
use route::NodeName;
use route::relay::{Role, Scope};
use std::time::Instant;
use tokio::sync::broadcast::Receiver;
use tokio::sync::broadcast::error::TryRecvError;

/// Where announcements go over a link.
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
    /// Whether the node has been told what is known.
    begun: bool,
}

impl Outbox {
    /// Nothing was announced to the node yet.
    pub fn new(app: &App, peer: NodeName) -> Self {
        Self {
            peer,
            announcements: app.announcements.subscribe(),
            begun: false,
        }
    }

    /// What came since the last time, or all that is known when the node begins to hear from here.
    /// While none are to go over the link, they wait.
    pub fn take(&mut self, app: &App, now: Instant, role: Role) -> Option<Frame> {
        let direction = direction(app, now, &self.peer, role)?;
        let notices = match std::mem::replace(&mut self.begun, true) {
            false => {
                self.announcements = self.announcements.resubscribe();
                whole(app, now, direction)
            }
            true => self.drain(app, now, direction),
        };
        let any = !notices.assignments.is_empty() || !notices.crashes.is_empty();
        any.then_some(Frame::Notices(notices))
    }

    fn drain(&mut self, app: &App, now: Instant, direction: Direction) -> Notices {
        let mut notices = Notices::default();
        loop {
            let announcement = match self.announcements.try_recv() {
                Ok(announcement) => announcement,
                Err(TryRecvError::Lagged(_)) => return whole(app, now, direction),
                Err(TryRecvError::Empty | TryRecvError::Closed) => return notices,
            };
            if !self.passes(app, now, direction, announcement.from.as_ref()) {
                continue;
            }
            match announcement.notice {
                Notice::Assignment(assignment) => notices.assignments.push(assignment),
                Notice::Crash(crash) => notices.crashes.push(crash),
            }
        }
    }

    /// Whether an announcement of a node, or of this one, goes in a direction. Those of other groups
    /// only go down, so that none comes back.
    fn passes(
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
            Direction::Across => app.state().relays.is_told(now, Scope::Group, from),
            Direction::Down => *from != self.peer,
        }
    }
}

fn direction(app: &App, now: Instant, peer: &str, role: Role) -> Option<Direction> {
    match role.scope {
        Scope::Own => role.primary.then_some(Direction::Up),
        Scope::Group => Some(Direction::Across),
        Scope::Fleet => {
            (app.state().relays.attached(now, peer) == Some(true)).then_some(Direction::Down)
        }
    }
}

/// What a node is to hear that begins to hear from here.
fn whole(app: &App, now: Instant, direction: Direction) -> Notices {
    let state = app.state();
    let crashes = state.suspects.known(now);
    Notices {
        assignments: state.sessions_for_peer(now, direction != Direction::Up),
        crashes: crashes
            .map(|(fingerprint, server, _)| (fingerprint.clone(), server.clone()))
            .collect(),
    }
}

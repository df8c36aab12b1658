//! Words that each node is to hear once, and whom a link passes them on to.

use super::frame::{Frame, News};
use crate::app::{App, Told, What};
use route::NodeName;
use route::relay::{Scope, Sign};
use std::time::Instant;
use tokio::sync::broadcast::Receiver;
use tokio::sync::broadcast::error::TryRecvError;

/// Which words go over a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    /// To the relay that passes on this node's words.
    Up,
    /// To another relay.
    Across,
    /// To a node that is attached to this one.
    Down,
}

/// Words of one link that each node is to hear once.
#[derive(Debug)]
pub struct Outbox {
    peer: NodeName,
    told: Receiver<Told>,
    /// Whether the node has been told what is known.
    begun: bool,
}

impl Outbox {
    /// Words for a node that has heard nothing yet.
    pub fn new(app: &App, peer: NodeName) -> Self {
        Self {
            peer,
            told: app.told.subscribe(),
            begun: false,
        }
    }

    /// What came since the last time, or all that is known when the node begins to hear from here.
    /// While nothing is to go over the link, words wait.
    pub fn take(&mut self, app: &App, now: Instant, sign: Sign) -> Option<Frame> {
        let way = way(app, now, &self.peer, sign)?;
        let news = match std::mem::replace(&mut self.begun, true) {
            false => {
                self.told = self.told.resubscribe();
                whole(app, now, way)
            }
            true => self.drain(app, now, way),
        };
        let any = !news.stays.is_empty() || !news.crashes.is_empty();
        any.then_some(Frame::News(news))
    }

    fn drain(&mut self, app: &App, now: Instant, way: Way) -> News {
        let mut news = News::default();
        loop {
            let told = match self.told.try_recv() {
                Ok(told) => told,
                Err(TryRecvError::Lagged(_)) => return whole(app, now, way),
                Err(TryRecvError::Empty | TryRecvError::Closed) => return news,
            };
            if !self.passes(app, now, way, told.from.as_ref()) {
                continue;
            }
            match told.what {
                What::Stay(stay) => news.stays.push(stay),
                What::Crash(crash) => news.crashes.push(crash),
            }
        }
    }

    /// Whether a word of a node, or of this one, goes this way. Words of other groups only go down, so
    /// that none goes round.
    fn passes(&self, app: &App, now: Instant, way: Way, from: Option<&NodeName>) -> bool {
        let Some(from) = from else {
            return true;
        };
        match way {
            Way::Up => false,
            Way::Across => app.state().relays.is_told(now, Scope::Group, from),
            Way::Down => *from != self.peer,
        }
    }
}

fn way(app: &App, now: Instant, peer: &str, sign: Sign) -> Option<Way> {
    match sign.scope {
        Scope::Own => sign.primary.then_some(Way::Up),
        Scope::Group => Some(Way::Across),
        Scope::Fleet => (app.state().relays.attached(now, peer) == Some(true)).then_some(Way::Down),
    }
}

/// What a node is to hear that begins to hear from here.
fn whole(app: &App, now: Instant, way: Way) -> News {
    let state = app.state();
    let crashes = state.suspects.known(now);
    News {
        stays: state.sessions_to_tell(now, way != Way::Up),
        crashes: crashes
            .map(|(fingerprint, server, _)| (fingerprint.clone(), server.clone()))
            .collect(),
    }
}

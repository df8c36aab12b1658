//! One link as the view sees it.

use contract::{Incarnation, Revision};
use std::collections::VecDeque;
use std::time::Instant;
use wire::Beat;

/// Heartbeats whose times are kept until they are echoed.
const MAX_UNECHOED: usize = 256;

/// One link. A new connection starts with a new value, and its heartbeats have greater numbers than
/// those of the connections before, so that a late echo of an old one dates nothing.
#[derive(Debug)]
pub(crate) struct Peer {
    pub incarnation: Incarnation,
    /// Address on which the other end accepts links.
    pub link: String,
    /// Greatest revision that the other end has announced or was sent.
    pub revision: Revision,
    /// When the last frame arrived.
    pub heard: Instant,
    /// All that arrives now was sent at this time or later: then, our heartbeat left whose echo came.
    pub bound: Option<Instant>,
    /// Time of the newest proof that the other end has.
    pub proof: Option<Instant>,
    sent: VecDeque<(u64, Instant)>,
    received: u64,
}

impl Peer {
    pub(crate) fn new(incarnation: Incarnation, link: &str, now: Instant) -> Self {
        Self {
            incarnation,
            link: link.to_owned(),
            revision: 0,
            heard: now,
            bound: None,
            proof: None,
            sent: VecDeque::new(),
            received: 0,
        }
    }

    /// Whether a heartbeat has come on this connection.
    pub(crate) fn has_spoken(&self) -> bool {
        self.received > 0
    }

    /// The next heartbeat.
    pub(crate) fn beat(
        &mut self,
        sequence: u64,
        revision: Revision,
        platform_age_ms: Option<u64>,
        now: Instant,
    ) -> Beat {
        if self.sent.len() == MAX_UNECHOED {
            self.sent.pop_front();
        }
        self.sent.push_back((sequence, now));
        Beat {
            echo: self.received,
            platform_age_ms,
            revision,
            sequence,
        }
    }

    /// Takes in a heartbeat; says whether it is the first of this connection.
    pub(crate) fn hear(&mut self, beat: &Beat) -> bool {
        let first = self.received == 0;
        self.received = self.received.max(beat.sequence);
        self.revision = self.revision.max(beat.revision);
        while let Some((sequence, at)) = self.sent.front().copied() {
            if sequence > beat.echo {
                break;
            }
            self.bound = Some(at);
            self.sent.pop_front();
        }
        first
    }
}

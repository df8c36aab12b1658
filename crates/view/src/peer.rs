//! State of the link to a peer.

use contract::{Incarnation, Revision};
use std::collections::VecDeque;
use std::time::Instant;
use wire::Beat;

/// Maximum number of heartbeats whose send times are kept until they are echoed.
const MAX_UNECHOED: usize = 256;

/// State of one connection to a peer. Each new connection starts with a new value. Its heartbeats
/// have greater sequence numbers than those of earlier connections, so that a late echo of an earlier
/// heartbeat can't be mistaken for an echo of a current one.
#[derive(Debug)]
pub(crate) struct Peer {
    pub incarnation: Incarnation,
    /// Address on which the peer accepts links.
    pub link: String,
    /// Greatest revision that the peer has announced or was sent.
    pub revision: Revision,
    /// When the last frame arrived.
    pub last_received: Instant,
    /// Lower bound on the send time of any frame that arrives from now on: the time at which this node
    /// sent the latest heartbeat that the peer has echoed.
    pub sent_after: Option<Instant>,
    /// Time of the latest head read that the peer knows of.
    pub proof_time: Option<Instant>,
    /// Sequence numbers and send times of heartbeats that have not been echoed yet.
    unechoed: VecDeque<(u64, Instant)>,
    /// Sequence number of the latest heartbeat received.
    last_sequence: u64,
}

impl Peer {
    pub(crate) fn new(incarnation: Incarnation, link: &str, now: Instant) -> Self {
        Self {
            incarnation,
            link: link.to_owned(),
            revision: 0,
            last_received: now,
            sent_after: None,
            proof_time: None,
            unechoed: VecDeque::new(),
            last_sequence: 0,
        }
    }

    /// Whether a heartbeat has been received on this connection.
    pub(crate) fn has_received(&self) -> bool {
        self.last_sequence > 0
    }

    /// Creates the next heartbeat and records its send time.
    pub(crate) fn heartbeat(
        &mut self,
        sequence: u64,
        revision: Revision,
        platform_age_ms: Option<u64>,
        now: Instant,
    ) -> Beat {
        if self.unechoed.len() == MAX_UNECHOED {
            self.unechoed.pop_front();
        }
        self.unechoed.push_back((sequence, now));
        Beat {
            echo: self.last_sequence,
            platform_age_ms,
            revision,
            sequence,
        }
    }

    /// Processes a heartbeat. Returns whether it is the first on this connection.
    pub(crate) fn receive(&mut self, beat: &Beat) -> bool {
        let first = self.last_sequence == 0;
        self.last_sequence = self.last_sequence.max(beat.sequence);
        self.revision = self.revision.max(beat.revision);
        while let Some((sequence, at)) = self.unechoed.front().copied() {
            if sequence > beat.echo {
                break;
            }
            self.sent_after = Some(at);
            self.unechoed.pop_front();
        }
        first
    }
}

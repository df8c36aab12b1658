//! The owner's side: batches that the platform has not stored yet, and their copies at peers.

use super::{Ack, Batch, Bill, Copies, Position, Settings};
use contract::{Map, NodeId, Owner};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Number of notices about stored batches that an idle owner sends within a peer's owner timeout.
const NOTICES_PER_TIMEOUT: u32 = 4;

/// A batch that the platform has not stored yet.
#[derive(Debug)]
struct Pending {
    bills: Vec<Bill>,
    opened_at: Instant,
    closed: bool,
    /// Start of the last write.
    written_at: Option<Instant>,
}

/// Replication state of a peer. Further copies are sent once the previous ones are acknowledged or
/// have timed out.
#[derive(Debug, Default)]
struct Peer {
    /// Number of lines acknowledged, by batch.
    confirmed: BTreeMap<u64, usize>,
    /// Time at which copies were sent that aren't acknowledged yet.
    in_flight_since: Option<Instant>,
    /// Time of the last copies, and the sequence number below which they announced all batches as
    /// stored.
    last_sent: Option<(Instant, u64)>,
}

/// The bills of one incarnation of a node that the platform has not stored yet.
///
/// A bill is durable, and its request may end, once the platform has stored its batch or enough
/// peers hold a copy. A bill is lost only if its owner and all peers with a copy fail before the
/// platform has stored the batch.
///
/// ```
/// use contract::Owner;
/// use ledger::bill::{Journal, Charge, Meter, Settings};
/// use std::time::{Duration, Instant};
/// let settings = Settings::default();
/// let mut journal = Journal::new(Owner::new("n1", 1), settings.clone());
/// let now = Instant::now();
/// let mut meter = Meter::new("r1", "fraser");
/// meter.add(Charge::default());
/// let position = journal.add(now, meter.close(0).unwrap());
/// assert!(journal.batch_due(now).is_none());
/// let batch = journal.batch_due(now + settings.flush_age).unwrap();
/// assert!(!journal.is_durable(position));
/// journal.mark_stored(batch.sequence);
/// assert!(journal.is_durable(position));
/// ```
#[derive(Debug)]
pub struct Journal {
    owner: Owner,
    settings: Settings,
    next_sequence: u64,
    batches: BTreeMap<u64, Pending>,
    peers: Map<NodeId, Peer>,
}

impl Journal {
    /// Creates an empty journal for one incarnation of a node.
    pub fn new(owner: Owner, settings: Settings) -> Self {
        Self {
            owner,
            settings,
            next_sequence: 1,
            batches: BTreeMap::new(),
            peers: Map::default(),
        }
    }

    /// Sets the age at which the open batch is due.
    pub fn set_flush_age(&mut self, flush_age: Duration) {
        self.settings.flush_age = flush_age;
    }

    /// Whether the bills of new requests fit. Must be checked before a request is sent: the bill of a
    /// request that has run is always accepted.
    pub fn has_room(&self) -> bool {
        self.batches.len() < self.settings.max_batches
    }

    /// Adds a bill to the open batch.
    pub fn add(&mut self, now: Instant, bill: Bill) -> Position {
        let limit = self.settings.batch_size;
        let open = self
            .batches
            .last_entry()
            .filter(|batch| !batch.get().closed && batch.get().bills.len() < limit);
        if let Some(mut batch) = open {
            let sequence = *batch.key();
            batch.get_mut().bills.push(bill);
            let line = batch.get().bills.len() - 1;
            return Position { sequence, line };
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let batch = Pending {
            bills: vec![bill],
            opened_at: now,
            closed: false,
            written_at: None,
        };
        self.batches.insert(sequence, batch);
        Position { sequence, line: 0 }
    }

    /// Returns the next batch to write and closes it for further bills. A batch whose write has failed
    /// is returned again after the retry interval.
    pub fn batch_due(&mut self, now: Instant) -> Option<Batch> {
        let settings = &self.settings;
        let (sequence, batch) = self.batches.iter_mut().find(|(_, batch)| {
            let is_ready = batch.bills.len() >= settings.batch_size
                || now >= batch.opened_at + settings.flush_age;
            let can_retry = batch
                .written_at
                .is_none_or(|at| now >= at + settings.retry_interval);
            (batch.closed || is_ready) && can_retry
        })?;
        batch.closed = true;
        batch.written_at = Some(now);
        Some(Batch {
            owner: self.owner.clone(),
            sequence: *sequence,
            bills: batch.bills.clone(),
        })
    }

    /// Closes the open batch, so that it is due immediately.
    pub fn close_batch(&mut self) {
        self.batches
            .values_mut()
            .for_each(|batch| batch.closed = true);
    }

    /// Records that the platform has stored a batch.
    pub fn mark_stored(&mut self, sequence: u64) {
        self.batches.remove(&sequence);
        for peer in self.peers.values_mut() {
            peer.confirmed.remove(&sequence);
        }
    }

    /// Whether the platform has stored a bill or enough peers hold a copy.
    pub fn is_durable(&self, position: Position) -> bool {
        if !self.batches.contains_key(&position.sequence) {
            return true;
        }
        let replicas = self.peers.values().filter(|peer| {
            let lines = peer.confirmed.get(&position.sequence);
            lines.is_some_and(|lines| *lines > position.line)
        });
        replicas.count() >= self.settings.required_copies
    }

    /// Number of bills that the platform has not stored yet.
    pub fn pending(&self) -> usize {
        self.batches.values().map(|batch| batch.bills.len()).sum()
    }

    /// Sets the peers that hold copies. Copies at other peers no longer count.
    pub fn set_peers(&mut self, peers: &[NodeId]) {
        self.peers.retain(|peer, _| peers.contains(peer));
        for peer in peers {
            self.peers.entry(peer.clone()).or_default();
        }
    }

    /// Discards the replication state of a peer, for a new link: the peer may have lost its copies.
    pub fn reset_peer(&mut self, peer: &str) {
        if let Some(peer) = self.peers.get_mut(peer) {
            *peer = Peer::default();
        }
    }

    /// Returns the copies to send to peers now.
    pub fn copies_due(&mut self, now: Instant) -> Vec<(NodeId, Copies)> {
        let stored_below = self
            .batches
            .keys()
            .next()
            .copied()
            .unwrap_or(self.next_sequence);
        let mut due = Vec::new();
        for (name, peer) in &mut self.peers {
            if peer
                .in_flight_since
                .is_some_and(|at| now < at + self.settings.retry_interval)
            {
                continue;
            }
            let is_notice_due = peer.last_sent.is_some_and(|(at, announced)| {
                announced < stored_below
                    && now >= at + self.settings.owner_timeout / NOTICES_PER_TIMEOUT
            });
            let (sequence, start, bills) = match first_unconfirmed(&self.batches, peer) {
                Some(lines) => lines,
                None if is_notice_due => (stored_below, 0, Vec::new()),
                None => continue,
            };
            peer.in_flight_since = Some(now);
            peer.last_sent = Some((now, stored_below));
            let copies = Copies {
                owner: self.owner.clone(),
                sequence,
                start,
                bills,
                stored_below,
            };
            due.push((name.clone(), copies));
        }
        due
    }

    /// Processes a peer's acknowledgement of copies.
    pub fn acknowledge(&mut self, peer: &str, ack: &Ack) {
        let Some(peer) = self.peers.get_mut(peer) else {
            return;
        };
        if self.batches.contains_key(&ack.sequence) {
            peer.confirmed.insert(ack.sequence, ack.lines);
        }
        peer.in_flight_since = None;
    }
}

/// The unacknowledged lines of the first batch that has any.
fn first_unconfirmed(
    batches: &BTreeMap<u64, Pending>,
    peer: &Peer,
) -> Option<(u64, usize, Vec<Bill>)> {
    batches.iter().find_map(|(sequence, batch)| {
        let start = peer.confirmed.get(sequence).copied().unwrap_or(0);
        let rest = batch.bills.get(start..).filter(|rest| !rest.is_empty())?;
        Some((*sequence, start, rest.to_vec()))
    })
}

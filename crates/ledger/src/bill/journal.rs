//! The owner's side: batches on their way to the platform, and copies at peers.

use super::{Ack, Batch, Bill, Copies, Settings};
use contract::{Map, NodeId, Owner};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Notices of what the platform keeps that an idle owner sends in the time after which a peer
/// takes it for silent.
const NOTICES_PER_SILENCE: u32 = 4;

/// Where a bill stands: batch and line.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// Batch.
    pub sequence: u64,
    /// Line within the batch.
    pub line: usize,
}

#[derive(Debug)]
struct Page {
    bills: Vec<Bill>,
    opened: Instant,
    closed: bool,
    /// When the last write was begun.
    written: Option<Instant>,
}

/// How far a peer's copies go. Copies are sent when the ones before are confirmed.
#[derive(Debug, Default)]
struct Peer {
    held: BTreeMap<u64, usize>,
    busy: Option<Instant>,
    /// Last copies and the batch below which they said that all is kept.
    told: Option<(Instant, u64)>,
}

/// The bills of one start of a node that the platform doesn't keep yet.
///
/// A bill is safe, and its request may end, when the platform keeps its batch or enough peers
/// hold a copy. What can be lost is a bill whose owner and all holders die within the time
/// that the platform needs to take the batch.
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
    next: u64,
    pages: BTreeMap<u64, Page>,
    peers: Map<NodeId, Peer>,
}

impl Journal {
    /// An empty journal of one start of a node.
    pub fn new(owner: Owner, settings: Settings) -> Self {
        Self {
            owner,
            settings,
            next: 1,
            pages: BTreeMap::new(),
            peers: Map::default(),
        }
    }

    /// Age at which the open batch is due from now on.
    pub fn set_flush_age(&mut self, flush_age: Duration) {
        self.settings.flush_age = flush_age;
    }

    /// Whether there is room for the bills of new requests. Ask before a request is sent: the
    /// bill of one that has run is always taken.
    pub fn has_room(&self) -> bool {
        self.pages.len() < self.settings.max_batches
    }

    /// Adds a bill to the open batch.
    pub fn add(&mut self, now: Instant, bill: Bill) -> Position {
        let limit = self.settings.batch_size;
        let open = self
            .pages
            .last_entry()
            .filter(|page| !page.get().closed && page.get().bills.len() < limit);
        if let Some(mut page) = open {
            let sequence = *page.key();
            page.get_mut().bills.push(bill);
            let line = page.get().bills.len() - 1;
            return Position { sequence, line };
        }
        let sequence = self.next;
        self.next += 1;
        let page = Page {
            bills: vec![bill],
            opened: now,
            closed: false,
            written: None,
        };
        self.pages.insert(sequence, page);
        Position { sequence, line: 0 }
    }

    /// The next batch to write now; it gets no further bills. A failed one comes again.
    pub fn batch_due(&mut self, now: Instant) -> Option<Batch> {
        let settings = &self.settings;
        let (sequence, page) = self.pages.iter_mut().find(|(_, page)| {
            let ripe =
                page.bills.len() >= settings.batch_size || now >= page.opened + settings.flush_age;
            let again = page
                .written
                .is_none_or(|at| now >= at + settings.retry_interval);
            (page.closed || ripe) && again
        })?;
        page.closed = true;
        page.written = Some(now);
        Some(Batch {
            owner: self.owner.clone(),
            sequence: *sequence,
            bills: page.bills.clone(),
        })
    }

    /// Closes the open batch, so that it is due now.
    pub fn close_batch(&mut self) {
        self.pages.values_mut().for_each(|page| page.closed = true);
    }

    /// The platform keeps a batch.
    pub fn mark_stored(&mut self, sequence: u64) {
        self.pages.remove(&sequence);
        for peer in self.peers.values_mut() {
            peer.held.remove(&sequence);
        }
    }

    /// Whether the platform keeps a bill or enough peers hold it.
    pub fn is_durable(&self, position: Position) -> bool {
        if !self.pages.contains_key(&position.sequence) {
            return true;
        }
        let holders = self.peers.values().filter(|peer| {
            let lines = peer.held.get(&position.sequence);
            lines.is_some_and(|lines| *lines > position.line)
        });
        holders.count() >= self.settings.required_copies
    }

    /// Bills that the platform doesn't keep yet.
    pub fn pending(&self) -> usize {
        self.pages.values().map(|page| page.bills.len()).sum()
    }

    /// Peers that hold copies from now on. What others held no longer counts.
    pub fn set_peers(&mut self, peers: &[NodeId]) {
        self.peers.retain(|peer, _| peers.contains(peer));
        for peer in peers {
            self.peers.entry(peer.clone()).or_default();
        }
    }

    /// The link to a peer is new: the peer may have lost what it held.
    pub fn reset_peer(&mut self, peer: &str) {
        if let Some(peer) = self.peers.get_mut(peer) {
            *peer = Peer::default();
        }
    }

    /// Copies to send to peers now.
    pub fn copies_due(&mut self, now: Instant) -> Vec<(NodeId, Copies)> {
        let kept = self.pages.keys().next().copied().unwrap_or(self.next);
        let mut due = Vec::new();
        for (name, peer) in &mut self.peers {
            if peer
                .busy
                .is_some_and(|at| now < at + self.settings.retry_interval)
            {
                continue;
            }
            let notice = peer.told.is_some_and(|(at, told)| {
                told < kept && now >= at + self.settings.owner_timeout / NOTICES_PER_SILENCE
            });
            let (sequence, start, bills) = match unsent(&self.pages, peer) {
                Some(lines) => lines,
                None if notice => (kept, 0, Vec::new()),
                None => continue,
            };
            peer.busy = Some(now);
            peer.told = Some((now, kept));
            let copies = Copies {
                owner: self.owner.clone(),
                sequence,
                start,
                bills,
                stored_below: kept,
            };
            due.push((name.clone(), copies));
        }
        due
    }

    /// A peer holds copies.
    pub fn acknowledge(&mut self, peer: &str, held: &Ack) {
        let Some(peer) = self.peers.get_mut(peer) else {
            return;
        };
        if self.pages.contains_key(&held.sequence) {
            peer.held.insert(held.sequence, held.lines);
        }
        peer.busy = None;
    }
}

/// The first lines that a peer hasn't confirmed.
fn unsent(pages: &BTreeMap<u64, Page>, peer: &Peer) -> Option<(u64, usize, Vec<Bill>)> {
    pages.iter().find_map(|(sequence, page)| {
        let start = peer.held.get(sequence).copied().unwrap_or(0);
        let rest = page.bills.get(start..).filter(|rest| !rest.is_empty())?;
        Some((*sequence, start, rest.to_vec()))
    })
}

//! Durable storage of this node's bills.

use super::{Context, Settings, frames};
use clients::Table;
use contract::Owner;
use ledger::bill::{Batch, Bill, Journal, Replica};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};
use wire::Frame;

/// Maximum interval between checks for due batches and copies.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Write budget of all nodes together, in batches per second.
const BATCHES_PER_SECOND: u32 = 200;
/// Interval between checks for overdue bills of unresponsive owners.
const RECOVERY_INTERVAL: Duration = Duration::from_secs(1);

/// Bills of one incarnation of a node, and copies of other nodes' bills. The locks of `journal` and
/// `replica` are held briefly, never across an await and never both at once.
#[derive(Debug)]
pub struct Bills<T> {
    table: T,
    settings: Settings,
    journal: Mutex<Journal>,
    replica: Mutex<Replica>,
    copies_pending: Notify,
    progress: Notify,
}

impl<T: Table> Bills<T> {
    /// Creates the bills of one incarnation of a node.
    ///
    /// ```
    /// use contract::Owner;
    /// let table = clients::table::Memory::default();
    /// let bills = node::bill::Bills::new(table, Owner::new("n1", 1), Default::default());
    /// assert_eq!(bills.pending(), 0);
    /// ```
    pub fn new(table: T, owner: Owner, settings: Settings) -> Arc<Self> {
        Arc::new(Self {
            table,
            journal: Mutex::new(Journal::new(owner, settings.ledger.clone())),
            replica: Mutex::new(Replica::new(settings.ledger.clone())),
            settings,
            copies_pending: Notify::new(),
            progress: Notify::new(),
        })
    }

    /// Whether the bills of new requests fit. Must be checked before a request is sent.
    pub fn has_room(&self) -> bool {
        self.journal().has_room()
    }

    /// Number of bills that the platform has not stored yet.
    pub fn pending(&self) -> usize {
        self.journal().pending()
    }

    /// Adds a bill without waiting, such as after the caller has disconnected.
    pub fn enqueue(&self, bill: Bill) {
        self.journal().add(Instant::now(), bill);
        self.copies_pending.notify_one();
    }

    /// Adds the bill of a request and waits until it is durable. Must be called before the end of the
    /// answer is delivered. False if the timeout has passed; the bill remains queued.
    pub async fn enqueue_and_wait(&self, bill: Bill) -> bool {
        let position = self.journal().add(Instant::now(), bill);
        self.copies_pending.notify_one();
        let durable = timeout(
            self.settings.durability_timeout,
            self.wait_until(|journal| journal.is_durable(position)),
        )
        .await;
        if durable.is_err() {
            log::warn!(event = 1402; "answer delivered before its bill was durable");
        }
        durable.is_ok()
    }

    /// Writes batches, sends copies to peers and recovers bills of other nodes, for the lifetime of the
    /// node.
    pub async fn run<C: Context>(&self, context: &C) {
        tokio::join!(
            self.write_batches(),
            self.send_copies(context),
            self.recover_overdue()
        );
    }

    /// Handles a frame of another node. Frames that don't concern bills are ignored.
    pub fn incoming<C: Context>(&self, context: &C, from: &Owner, frame: &Frame) {
        match frame {
            Frame::BillCopies(copies) => {
                let copies = frames::copies(from, copies);
                let ack = copies.and_then(|copies| self.replica().store(Instant::now(), copies));
                if let Some(frame) = ack.and_then(|ack| frames::ack_frame(&ack)) {
                    context.send(&from.node, frame);
                }
            }
            Frame::BillHeld(held) => {
                self.journal().acknowledge(&from.node, &frames::ack(held));
                self.progress.notify_waiters();
                self.copies_pending.notify_one();
            }
            _ => {}
        }
    }

    /// Handles a new link to a node: the node may have lost the copies that it held.
    pub fn reconnected(&self, node: &str) {
        self.journal().reset_peer(node);
    }

    /// Writes all bills, until a deadline. Returns the number of bills that the platform has not stored.
    pub async fn flush_all(&self, deadline: tokio::time::Instant) -> usize {
        self.journal().close_batch();
        let written = self.wait_until(|journal| journal.pending() == 0);
        let _ = tokio::time::timeout_at(deadline, written).await;
        self.pending()
    }

    async fn write_batches(&self) {
        loop {
            let due = self.journal().batch_due(Instant::now());
            match due {
                Some(batch) => self.write_batch(&batch).await,
                None => sleep(POLL_INTERVAL).await,
            }
        }
    }

    async fn write_batch(&self, batch: &Batch) {
        match batch.write(&self.table).await {
            Ok(()) => {
                self.journal().mark_stored(batch.sequence);
                self.progress.notify_waiters();
            }
            Err(error) => {
                log::warn!(event = 1403, sequence = batch.sequence; "bills could not be written: {error}");
            }
        }
    }

    async fn send_copies<C: Context>(&self, context: &C) {
        loop {
            let peers = context.peers();
            let flush_age = self.flush_age(context.nodes());
            let due = {
                let mut journal = self.journal();
                journal.set_peers(&peers);
                journal.set_flush_age(flush_age);
                journal.copies_due(Instant::now())
            };
            for (peer, copies) in due {
                if let Some(frame) = frames::copies_frame(&copies) {
                    context.send(&peer, frame);
                }
            }
            tokio::select! {
                () = self.copies_pending.notified() => {}
                () = sleep(POLL_INTERVAL) => {}
            }
        }
    }

    /// Age at which a batch is written, so that all nodes together stay within the platform's write
    /// budget. Until then, copies at peers make its bills durable.
    fn flush_age(&self, nodes: u32) -> Duration {
        let interval = Duration::from_secs(1) / BATCHES_PER_SECOND;
        self.settings.ledger.flush_age.max(interval * nodes)
    }

    /// Writes overdue bills of unresponsive owners.
    async fn recover_overdue(&self) {
        loop {
            let overdue = self.replica().overdue(Instant::now());
            for batch in overdue {
                if batch.recover(&self.table).await.is_err() {
                    break;
                }
                log::info!(event = 1404, node = batch.owner.node.as_str(), sequence = batch.sequence;
                    "recovered bills of an unresponsive node");
                self.replica().mark_stored(&batch.owner, batch.sequence);
            }
            sleep(RECOVERY_INTERVAL).await;
        }
    }

    /// Waits until a condition on the journal holds.
    async fn wait_until<F>(&self, done: F)
    where
        F: Fn(&Journal) -> bool,
    {
        loop {
            let changed = self.progress.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if done(&self.journal()) {
                return;
            }
            changed.await;
        }
    }

    fn journal(&self) -> MutexGuard<'_, Journal> {
        self.journal.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn replica(&self) -> MutexGuard<'_, Replica> {
        self.replica.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! The node's bills on their way to the platform.

use super::{Context, Settings, frames};
use clients::Table;
use contract::Owner;
use ledger::bill::{Batch, Bill, Journal, Replica};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};
use wire::Frame;

/// Longest time between looks at what is due.
const STEP: Duration = Duration::from_millis(5);
/// Batches that all nodes together may write in a second.
const BATCHES_PER_SECOND: u32 = 200;
/// Time between looks at bills of silent owners.
const RECOVERY: Duration = Duration::from_secs(1);

/// Bills of one start of a node. Locks, each held for single steps, never over an await and
/// never both at once: `journal`, `replica`.
#[derive(Debug)]
pub struct Bills<T> {
    table: T,
    settings: Settings,
    journal: Mutex<Journal>,
    replica: Mutex<Replica>,
    added: Notify,
    safer: Notify,
}

impl<T: Table> Bills<T> {
    /// Bills of one start of a node.
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
            added: Notify::new(),
            safer: Notify::new(),
        })
    }

    /// Whether there is room for the bills of new requests; ask before a request is sent.
    pub fn has_room(&self) -> bool {
        self.journal().has_room()
    }

    /// Bills that the platform doesn't keep yet.
    pub fn pending(&self) -> usize {
        self.journal().pending()
    }

    /// Adds a bill without waiting, as where the caller has gone away.
    pub fn enqueue(&self, bill: Bill) {
        self.journal().add(Instant::now(), bill);
        self.added.notify_one();
    }

    /// Adds the bill of a request and waits until it is safe: call it before the end of the
    /// answer is delivered. False when the longest wait has passed; the bill is kept all the same.
    pub async fn enqueue_and_wait(&self, bill: Bill) -> bool {
        let mark = self.journal().add(Instant::now(), bill);
        self.added.notify_one();
        let safe = timeout(
            self.settings.durability_timeout,
            self.until(|journal| journal.safe(mark)),
        )
        .await;
        if safe.is_err() {
            log::warn!(event = 1402; "answer ended before its bill was safe");
        }
        safe.is_ok()
    }

    /// Writes batches and sends copies for as long as the node runs.
    pub async fn run<C: Context>(&self, context: &C) {
        tokio::join!(self.write(), self.copy(context), self.recover());
    }

    /// Takes in a frame of another node; frames for other parts are passed over.
    pub fn incoming<C: Context>(&self, context: &C, from: &Owner, frame: &Frame) {
        match frame {
            Frame::BillCopies(copies) => {
                let copies = frames::copies(from, copies);
                let held = copies.and_then(|copies| self.replica().hold(Instant::now(), copies));
                if let Some(frame) = held.and_then(|held| frames::held_frame(&held)) {
                    context.send(&from.node, frame);
                }
            }
            Frame::BillHeld(held) => {
                self.journal().held(&from.node, &frames::held(held));
                self.safer.notify_waiters();
                self.added.notify_one();
            }
            _ => {}
        }
    }

    /// A link to a node is new: what that node held may be lost.
    pub fn reconnected(&self, node: &str) {
        self.journal().reconnected(node);
    }

    /// Writes all bills, until a deadline. Gives the number that the platform doesn't keep.
    pub async fn flush_all(&self, deadline: tokio::time::Instant) -> usize {
        self.journal().close();
        let written = self.until(|journal| journal.pending() == 0);
        let _ = tokio::time::timeout_at(deadline, written).await;
        self.pending()
    }

    async fn write(&self) {
        loop {
            let due = self.journal().batch_due(Instant::now());
            match due {
                Some(batch) => self.keep(&batch).await,
                None => sleep(STEP).await,
            }
        }
    }

    async fn keep(&self, batch: &Batch) {
        match batch.write(&self.table).await {
            Ok(()) => {
                self.journal().kept(batch.sequence);
                self.safer.notify_waiters();
            }
            Err(error) => {
                log::warn!(event = 1403, sequence = batch.sequence; "bills can't be written: {error}");
            }
        }
    }

    async fn copy<C: Context>(&self, context: &C) {
        loop {
            let peers = context.peers();
            let flush = self.flush(context.nodes());
            let due = {
                let mut journal = self.journal();
                journal.set_peers(&peers);
                journal.set_flush(flush);
                journal.copies_due(Instant::now())
            };
            for (peer, copies) in due {
                if let Some(frame) = frames::copies_frame(&copies) {
                    context.send(&peer, frame);
                }
            }
            tokio::select! {
                () = self.added.notified() => {}
                () = sleep(STEP) => {}
            }
        }
    }

    /// Age at which a batch is written: all nodes together keep to the platform's write budget.
    /// Until then copies at peers make its bills safe.
    fn flush(&self, nodes: u32) -> Duration {
        let turn = Duration::from_secs(1) / BATCHES_PER_SECOND;
        self.settings.ledger.flush.max(turn * nodes)
    }

    /// Writes the bills of owners that have fallen silent.
    async fn recover(&self) {
        loop {
            let overdue = self.replica().overdue(Instant::now());
            for batch in overdue {
                if batch.recover(&self.table).await.is_err() {
                    break;
                }
                log::info!(event = 1404, node = batch.owner.node.as_str(), sequence = batch.sequence;
                    "bills of a silent node are kept");
                self.replica().written(&batch.owner, batch.sequence);
            }
            sleep(RECOVERY).await;
        }
    }

    async fn until<F>(&self, done: F)
    where
        F: Fn(&Journal) -> bool,
    {
        loop {
            let changed = self.safer.notified();
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

//! Limits the memory that bodies of requests and responses occupy together.

use contract::Map;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Size from which a response may be revoked in favour of smaller bodies, in bytes.
const MIN_REVOCABLE_BYTES: usize = 64 << 10;
/// Part of the free memory that one response may hold for its caller (dynamic threshold of a shared
/// buffer). With n stalled callers a fraction of 1 / (1 + n / 2) stays free for all others.
const WINDOW_SHARE: f64 = 0.5;

/// The budget has no room for more bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("bodies occupy all memory that they may")]
pub struct Exhausted;

/// What all bodies of the process may occupy together.
///
/// When it is exhausted, the largest response that is still being received makes room for smaller
/// bodies: most likely it has no end.
#[derive(Debug)]
pub struct Budget {
    limit: usize,
    ledger: Mutex<Ledger>,
    /// Wakes responses that wait for memory.
    released: Notify,
}

#[derive(Debug, Default)]
struct Ledger {
    used: usize,
    /// Part of `used` whose owners have been told to release it.
    revoked: usize,
    next_id: u64,
    revocable: Map<u64, Revocable>,
}

#[derive(Debug)]
struct Revocable {
    bytes: usize,
    revocation: Arc<Notify>,
}

/// Bytes taken from a budget. They return to it on drop.
#[derive(Debug)]
pub struct Charge {
    budget: Arc<Budget>,
    id: u64,
    bytes: usize,
    /// Present while the charge can be revoked, or once it has been.
    revocation: Option<Arc<Notify>>,
}

impl Budget {
    /// Creates a budget of this many bytes.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            limit,
            ledger: Mutex::default(),
            released: Notify::new(),
        })
    }

    /// Starts a charge of zero bytes that can't be revoked.
    ///
    /// ```
    /// use edge::memory::{Budget, Exhausted};
    /// let budget = Budget::new(1000);
    /// let mut charge = budget.charge();
    /// assert_eq!(charge.grow(600), Ok(()));
    /// assert_eq!(budget.charge().grow(600), Err(Exhausted));
    /// drop(charge);
    /// assert_eq!(budget.used(), 0);
    /// ```
    pub fn charge(self: &Arc<Self>) -> Charge {
        let mut ledger = self.ledger();
        ledger.next_id += 1;
        Charge {
            budget: Arc::clone(self),
            id: ledger.next_id,
            bytes: 0,
            revocation: None,
        }
    }

    /// Starts a charge of zero bytes that is revoked if it is the largest one when the budget is
    /// exhausted.
    pub fn revocable_charge(self: &Arc<Self>) -> Charge {
        let mut charge = self.charge();
        charge.revocation = Some(Arc::default());
        charge
    }

    /// Bytes in use.
    pub fn used(&self) -> usize {
        self.ledger().used
    }

    /// Opens the window of a response that holds nothing yet.
    pub fn window(self: &Arc<Self>) -> Window {
        Window {
            budget: Arc::clone(self),
            held: Arc::default(),
        }
    }

    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Memory of one response between its backend server and its caller.
///
/// A response may hold half of what is free. It waits beyond that, so that callers which read slowly,
/// or not at all, leave room for the others.
#[derive(Debug)]
pub struct Window {
    budget: Arc<Budget>,
    held: Arc<AtomicUsize>,
}

/// Bytes that a response holds. They return to its window and to the budget on drop.
#[derive(Debug)]
pub struct Part {
    charge: Charge,
    held: Arc<AtomicUsize>,
}

impl Window {
    /// Takes bytes if the window has room for them.
    ///
    /// ```
    /// use edge::memory::Budget;
    /// let budget = Budget::new(900);
    /// let window = budget.window();
    /// let part = window.try_take(300).expect("a third is half of what stays free");
    /// assert!(window.try_take(1).is_none());
    /// assert!(budget.window().try_take(200).is_some(), "another response has a window of its own");
    /// drop(part);
    /// assert!(window.try_take(300).is_some());
    /// ```
    pub fn try_take(&self, bytes: usize) -> Option<Part> {
        let mut charge = self.budget.charge();
        let mut ledger = self.budget.ledger();
        let free = self.budget.limit.saturating_sub(ledger.used + bytes);
        let held = self.held.load(Ordering::Relaxed) + bytes;
        if held as f64 > free as f64 * WINDOW_SHARE {
            drop(ledger);
            return None;
        }
        ledger.used += bytes;
        drop(ledger);
        charge.bytes = bytes;
        self.held.fetch_add(bytes, Ordering::Relaxed);
        Some(Part {
            charge,
            held: Arc::clone(&self.held),
        })
    }

    /// Takes bytes as soon as the window has room for them.
    pub async fn take(&self, bytes: usize) -> Part {
        loop {
            let released = self.budget.released.notified();
            tokio::pin!(released);
            released.as_mut().enable();
            if let Some(part) = self.try_take(bytes) {
                return part;
            }
            released.await;
        }
    }
}

impl Drop for Part {
    fn drop(&mut self) {
        self.held.fetch_sub(self.charge.bytes, Ordering::Relaxed);
    }
}

impl Ledger {
    /// Revokes the largest charge if it is larger than this many bytes.
    fn revoke_larger(&mut self, bytes: usize) -> Result<(), Exhausted> {
        let largest = self.revocable.iter().max_by_key(|(_, charge)| charge.bytes);
        let id = largest.filter(|(_, charge)| charge.bytes > bytes);
        let id = id.map(|(id, _)| *id).ok_or(Exhausted)?;
        if let Some(charge) = self.revocable.remove(&id) {
            self.revoked += charge.bytes;
            charge.revocation.notify_one();
        }
        Ok(())
    }
}

impl Charge {
    /// Bytes taken so far.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes more bytes. Fails if nothing larger can be revoked for them, or if this charge has been
    /// revoked itself; what was taken before stays taken.
    pub fn grow(&mut self, bytes: usize) -> Result<(), Exhausted> {
        let mut ledger = self.budget.ledger();
        if self.is_revoked(&ledger) {
            return Err(Exhausted);
        }
        let total = self.bytes + bytes;
        while ledger.used - ledger.revoked + bytes > self.budget.limit {
            ledger.revoke_larger(total)?;
        }
        ledger.used += bytes;
        self.bytes = total;
        if let Some(revocation) = self
            .revocation
            .as_ref()
            .filter(|_| total >= MIN_REVOCABLE_BYTES)
        {
            let revocation = Arc::clone(revocation);
            let revocable = Revocable {
                bytes: total,
                revocation,
            };
            ledger.revocable.insert(self.id, revocable);
        }
        Ok(())
    }

    /// Waits until the charge is revoked.
    pub async fn revoked(&self) {
        match &self.revocation {
            Some(revocation) => revocation.notified().await,
            None => std::future::pending().await,
        }
    }

    /// Makes the charge permanent until it is dropped. Fails if it has been revoked.
    pub fn settle(mut self) -> Result<Self, Exhausted> {
        let mut ledger = self.budget.ledger();
        if self.is_revoked(&ledger) {
            return Err(Exhausted);
        }
        ledger.revocable.remove(&self.id);
        drop(ledger);
        self.revocation = None;
        Ok(self)
    }

    fn is_revoked(&self, ledger: &Ledger) -> bool {
        self.revocation.is_some()
            && self.bytes >= MIN_REVOCABLE_BYTES
            && !ledger.revocable.contains_key(&self.id)
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let mut ledger = self.budget.ledger();
        if self.is_revoked(&ledger) {
            ledger.revoked -= self.bytes;
        }
        ledger.revocable.remove(&self.id);
        ledger.used -= self.bytes;
        drop(ledger);
        if self.bytes > 0 {
            self.budget.released.notify_waiters();
        }
    }
}

//! Requests under way, and whether new ones are taken.

use crate::Error;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use tokio::sync::Notify;

/// Counts requests under way and closes when the node stops.
#[derive(Debug, Default)]
pub struct Gate {
    inside: AtomicUsize,
    closed: AtomicBool,
    changed: Notify,
}

/// A request under way; it ends when dropped.
#[derive(Debug)]
pub struct Stay {
    gate: Arc<Gate>,
}

impl Gate {
    /// Lets a request in unless the gate is closed or `limit` requests are inside.
    ///
    /// ```
    /// use node::app::Gate;
    /// let gate = std::sync::Arc::new(Gate::default());
    /// let stay = Gate::enter(&gate, 10)?;
    /// assert_eq!(gate.inside(), 1);
    /// drop(stay);
    /// gate.close();
    /// assert!(Gate::enter(&gate, 10).is_err());
    /// # Ok::<(), node::Error>(())
    /// ```
    pub fn enter(gate: &Arc<Self>, limit: usize) -> Result<Stay, Error> {
        let inside = gate.inside.fetch_add(1, Ordering::SeqCst) + 1;
        let stay = Stay {
            gate: Arc::clone(gate),
        };
        if gate.closed.load(Ordering::SeqCst) {
            return Err(Error::Stopping);
        }
        if inside > limit {
            return Err(Error::Capacity("this node".into()));
        }
        Ok(stay)
    }

    /// Requests under way.
    pub fn inside(&self) -> usize {
        self.inside.load(Ordering::SeqCst)
    }

    /// Lets no further request in.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Waits until no request is under way.
    pub async fn empty(&self) {
        loop {
            let changed = self.changed.notified();
            if self.inside() == 0 {
                return;
            }
            changed.await;
        }
    }
}

impl Drop for Stay {
    fn drop(&mut self) {
        if self.gate.inside.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.gate.changed.notify_waiters();
        }
    }
}

//! Tracking of requests in flight, for graceful shutdown.

use crate::Error;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use tokio::sync::Notify;

/// Counts the requests in flight and rejects new ones once it is closed.
#[derive(Debug, Default)]
pub struct Tracker {
    in_flight: AtomicUsize,
    closed: AtomicBool,
    idle: Notify,
}

/// A request in flight; dropping it ends the request.
#[derive(Debug)]
pub struct Admission {
    tracker: Arc<Tracker>,
}

impl Tracker {
    /// Admits a request unless the tracker is closed or `limit` requests are already in flight.
    ///
    /// ```
    /// use node::app::Tracker;
    /// let tracker = std::sync::Arc::new(Tracker::default());
    /// let admission = Tracker::admit(&tracker, 10)?;
    /// assert_eq!(tracker.in_flight(), 1);
    /// drop(admission);
    /// tracker.close();
    /// assert!(Tracker::admit(&tracker, 10).is_err());
    /// # Ok::<(), node::Error>(())
    /// ```
    pub fn admit(tracker: &Arc<Self>, limit: usize) -> Result<Admission, Error> {
        let in_flight = tracker.in_flight.fetch_add(1, Ordering::SeqCst) + 1;
        let admission = Admission {
            tracker: Arc::clone(tracker),
        };
        if tracker.closed.load(Ordering::SeqCst) {
            return Err(Error::Stopping);
        }
        if in_flight > limit {
            return Err(Error::Capacity("this node".into()));
        }
        Ok(admission)
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Rejects all further requests.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Waits until no request is in flight.
    pub async fn wait_idle(&self) {
        loop {
            let idle = self.idle.notified();
            if self.in_flight() == 0 {
                return;
            }
            idle.await;
        }
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        if self.tracker.in_flight.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.tracker.idle.notify_waiters();
        }
    }
}

//! A request at the door.

use std::time::{Duration, Instant};

/// Number of a request in the queue, chosen by the caller of the queue.
pub type Ticket = u64;

/// A request at the door.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Number that names the request while it waits.
    pub ticket: Ticket,
    /// Customer that asks.
    pub customer: &'a str,
    /// 0 goes first, 9 last.
    pub priority: u8,
    /// Fair share relative to other customers.
    pub weight: u32,
    /// When the whole answer is due.
    pub deadline: Instant,
    /// Expected time to run.
    pub expected: Duration,
}

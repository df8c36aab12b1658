//! A request that asks for admission.

use std::time::{Duration, Instant};

/// Identifies a request in the queue; chosen by the code that uses the queue.
pub type Ticket = u64;

/// A request that asks for admission.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Identifies the request while it waits; unique among waiting requests.
    pub ticket: Ticket,
    /// Customer that sent the request.
    pub customer: &'a str,
    /// Priority from 0 (first) to 9 (last).
    pub priority: u8,
    /// Weight of the customer's fair share, relative to other customers.
    pub weight: u32,
    /// Time by which the whole answer is due.
    pub deadline: Instant,
    /// Expected run time.
    pub expected: Duration,
}

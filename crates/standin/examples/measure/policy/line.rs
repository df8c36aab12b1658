//! The queue before a version's backend servers: fair and bounded, or first come, first served.

use limits::Refusal;
use limits::admission::{Decision, Dequeued, Queue, Request, Ticket};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The queue before a version's backend servers at one node.
pub enum Line {
    Fair(Queue),
    /// No bound, no shares and no refusals.
    Plain {
        waiting: VecDeque<Ticket>,
        running: u32,
        capacity: u32,
    },
}

impl Line {
    pub fn new(fair: bool) -> Self {
        if fair {
            return Self::Fair(Queue::new(Default::default(), 0));
        }
        Self::Plain {
            waiting: VecDeque::new(),
            running: 0,
            capacity: 0,
        }
    }

    pub fn resize(&mut self, slots: u32) {
        match self {
            Self::Fair(queue) => queue.resize(slots),
            Self::Plain { capacity, .. } => *capacity = slots,
        }
    }

    pub fn expected_wait(&self, request: &Request) -> Duration {
        match self {
            Self::Fair(queue) => queue.expected_wait(request),
            Self::Plain {
                waiting, capacity, ..
            } => {
                let rounds = waiting.len() as f64 / f64::from((*capacity).max(1));
                request.expected.mul_f64(rounds)
            }
        }
    }

    pub fn admit(&mut self, now: Instant, request: Request) -> Result<Decision, Refusal> {
        match self {
            Self::Fair(queue) => queue.admit(now, request),
            Self::Plain { waiting, .. } => {
                waiting.push_back(request.ticket);
                Ok(Decision::Wait)
            }
        }
    }

    pub fn dequeue(&mut self, now: Instant) -> Option<Dequeued> {
        match self {
            Self::Fair(queue) => queue.dequeue(now),
            Self::Plain {
                waiting,
                running,
                capacity,
            } => {
                let ticket = (*running < *capacity).then(|| waiting.pop_front())??;
                *running += 1;
                Some(Dequeued::Run(ticket))
            }
        }
    }

    pub fn complete(&mut self, run_time: Duration) {
        match self {
            Self::Fair(queue) => queue.complete(run_time),
            Self::Plain { running, .. } => *running = running.saturating_sub(1),
        }
    }
}

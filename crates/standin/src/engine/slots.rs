//! How many requests run at once, without sockets.

use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Counts of what happened at an engine.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counters {
    /// Requests that began to run.
    pub started: u64,
    /// Requests that ran to their end.
    pub completed: u64,
    /// Requests whose caller went away.
    pub cancelled: u64,
    /// Requests refused for lack of room.
    pub refused: u64,
    /// Requests refused for an old fencing number.
    pub fenced: u64,
    /// Requests received while cold beyond what it can bear.
    pub overruns: u64,
    /// Times the engine fell over.
    pub falls: u64,
}

/// What happens to a request that arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It runs now.
    Run,
    /// It waits for a slot.
    Wait,
    /// It is refused and doesn't run.
    Refuse,
    /// It is more than a cold engine can bear.
    Overrun,
}

/// Slots of one engine.
#[derive(Clone, Debug)]
pub struct Slots {
    warm: usize,
    cold: usize,
    warm_after: usize,
    queue: usize,
    completed_since_cold: Option<usize>,
    running: usize,
    waiting: Vec<(i64, u64)>,
    next_ticket: u64,
    leaving: bool,
    notice: Duration,
    noticed_at: Option<Instant>,
    generation: u64,
    down_until: Option<Instant>,
    /// Counts so far.
    pub counters: Counters,
}

impl Slots {
    /// Slots of an engine that has just started.
    pub fn new(settings: &super::Settings) -> Self {
        Self {
            warm: settings.slots,
            cold: settings.cold_slots,
            warm_after: settings.warm_after,
            queue: settings.queue,
            completed_since_cold: settings.cold.then_some(0),
            running: 0,
            waiting: Vec::new(),
            next_ticket: 0,
            leaving: false,
            notice: settings.cold_notice,
            noticed_at: None,
            generation: 0,
            down_until: None,
            counters: Counters::default(),
        }
    }

    /// Decides about a request that arrives.
    ///
    /// ```
    /// use standin::engine::{Admission, Settings, Slots};
    /// use std::time::Instant;
    /// let mut slots = Slots::new(&Settings { cold: true, cold_slots: 1, ..Settings::default() });
    /// let now = Instant::now();
    /// assert_eq!(slots.arrive(now), Admission::Run);
    /// assert_eq!(slots.arrive(now), Admission::Overrun);
    /// ```
    pub fn arrive(&mut self, now: Instant) -> Admission {
        let down = self.down_until.is_some_and(|until| now < until);
        if down || self.leaving {
            self.counters.refused += 1;
            return Admission::Refuse;
        }
        if self.is_cold() && self.running >= self.cold {
            return self.exceed(now);
        }
        if self.running < self.limit() && self.waiting.is_empty() {
            self.start();
            return Admission::Run;
        }
        if self.waiting.len() >= self.queue {
            self.counters.refused += 1;
            return Admission::Refuse;
        }
        Admission::Wait
    }

    /// Puts a request into the queue; a lower priority number goes first.
    pub fn enqueue(&mut self, priority: i64) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.waiting.push((priority, ticket));
        ticket
    }

    /// Starts the request of a ticket if it is its turn.
    pub fn turn(&mut self, ticket: u64) -> bool {
        let first = self.waiting.iter().min().map(|(_, ticket)| *ticket);
        if first != Some(ticket) || self.running >= self.limit() {
            return false;
        }
        self.leave_queue(ticket);
        self.start();
        true
    }

    /// Takes a request out of the queue.
    pub fn leave_queue(&mut self, ticket: u64) {
        self.waiting.retain(|(_, waiting)| *waiting != ticket);
    }

    /// Ends a request that ran in a generation.
    pub fn finish(&mut self, generation: u64, completed: bool) {
        if generation != self.generation {
            return;
        }
        self.running = self.running.saturating_sub(1);
        if !completed {
            self.counters.cancelled += 1;
            return;
        }
        self.counters.completed += 1;
        self.completed_since_cold = self.completed_since_cold.and_then(|count| {
            let count = count + 1;
            (count < self.warm_after).then_some(count)
        });
    }

    /// Loses everything that runs, and comes back cold later.
    pub fn fall_over(&mut self, now: Instant, recovery: Duration) {
        self.counters.falls += 1;
        self.generation += 1;
        self.running = 0;
        self.waiting.clear();
        self.down_until = Some(now + recovery);
        self.completed_since_cold = Some(0);
        self.noticed_at = None;
    }

    /// Turns cold without a restart. For a while more than it can bear is only refused.
    pub fn turn_cold(&mut self, now: Instant) {
        self.completed_since_cold = Some(0);
        self.noticed_at = Some(now + self.notice);
    }

    /// Sets whether new requests are refused.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Number of starts of the engine; a request belongs to the one it began in.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Whether the engine is cold.
    pub fn is_cold(&self) -> bool {
        self.completed_since_cold.is_some()
    }

    /// Requests that run.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn exceed(&mut self, now: Instant) -> Admission {
        if self.noticed_at.is_some_and(|noticed_at| now < noticed_at) {
            self.counters.refused += 1;
            return Admission::Refuse;
        }
        self.counters.overruns += 1;
        Admission::Overrun
    }

    fn limit(&self) -> usize {
        if self.is_cold() { self.cold } else { self.warm }
    }

    fn start(&mut self) {
        self.running += 1;
        self.counters.started += 1;
    }
}

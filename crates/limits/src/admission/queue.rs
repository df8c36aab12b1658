//! The admission queue of one pool of backend servers.

use crate::Refusal;
use crate::admission::order::{Order, work};
use crate::admission::{Request, Settings, Ticket};
use contract::{CustomerId, Map};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Customers whose tags are kept before those that are behind are dropped.
const MAX_FLOWS: usize = 256;

/// Share of a new run time in the moving average.
const SMOOTHING: f64 = 0.05;

/// What happens to an offered request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Offer {
    /// It runs now.
    Run,
    /// It waits.
    Wait,
    /// It waits in place of another, which is refused.
    Evict(Ticket),
}

/// What happens to a waiting request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// It runs now.
    Run(Ticket),
    /// Its deadline can't be met any more.
    Shed(Ticket),
}

/// Requests before one pool of backend servers: priorities first, weighted fair shares between
/// customers within a priority, and no request that can't be answered in time.
#[derive(Debug)]
pub struct Queue {
    settings: Settings,
    capacity: u32,
    running: u32,
    sequence: u64,
    /// Start tag of the last request that ran, by priority.
    clocks: [u64; 256],
    /// Finish tag of each customer's last request.
    flows: Map<(u8, CustomerId), u64>,
    waiting: BTreeMap<Order, Waiting>,
    tickets: Map<Ticket, Order>,
    /// Moving average of the run time in seconds.
    run_time: Option<f64>,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: Ticket,
    deadline: Instant,
    expected: Duration,
}

impl Queue {
    /// An empty queue before a pool that runs `capacity` requests at once.
    ///
    /// ```
    /// use limits::admission::{Queue, Settings};
    /// assert_eq!(Queue::new(Settings::default(), 4).running(), 0);
    /// ```
    pub fn new(settings: Settings, capacity: u32) -> Self {
        Self {
            settings,
            capacity,
            running: 0,
            sequence: 0,
            clocks: [0; 256],
            flows: Map::default(),
            waiting: BTreeMap::new(),
            tickets: Map::default(),
            run_time: None,
        }
    }

    /// Requests that run.
    ///
    /// ```
    /// # use limits::admission::{Queue, Settings};
    /// assert_eq!(Queue::new(Settings::default(), 4).running(), 0);
    /// ```
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Requests that wait.
    ///
    /// ```
    /// # use limits::admission::{Queue, Settings};
    /// assert_eq!(Queue::new(Settings::default(), 4).waiting(), 0);
    /// ```
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Sets how many requests run at once.
    ///
    /// ```
    /// # use limits::admission::{Queue, Settings};
    /// Queue::new(Settings::default(), 4).resize(8);
    /// ```
    pub fn resize(&mut self, capacity: u32) {
        self.capacity = capacity;
    }

    /// Lets a request run, lets it wait, or refuses it before it runs.
    ///
    /// ```
    /// use limits::admission::{Offer, Queue, Request, Settings};
    /// use std::time::{Duration, Instant};
    /// let now = Instant::now();
    /// let mut queue = Queue::new(Settings::default(), 1);
    /// let request = Request {
    ///     ticket: 1, customer: "c", priority: 5, weight: 1,
    ///     deadline: now + Duration::from_secs(3), expected: Duration::from_secs(1),
    /// };
    /// assert_eq!(queue.offer(now, request), Ok(Offer::Run));
    /// assert_eq!(queue.offer(now, Request { ticket: 2, ..request }), Ok(Offer::Wait));
    /// assert!(queue.offer(now, Request { ticket: 3, ..request }).is_err());
    /// ```
    pub fn offer(&mut self, now: Instant, request: Request) -> Result<Offer, Refusal> {
        let free = self.running < self.capacity && self.waiting.is_empty();
        if free {
            self.check(now, &request, Duration::ZERO)?;
            self.order(&request);
            self.running += 1;
            return Ok(Offer::Run);
        }
        let order = self.place(request.customer, request.priority);
        self.check(now, &request, self.wait(order, request.expected))?;
        if self.waiting.len() < self.settings.waiting {
            self.enqueue(request);
            return Ok(Offer::Wait);
        }
        self.replace(order, request)
    }

    /// Takes the next request that runs or is too late; none when nothing can start. Ask again
    /// until it returns none.
    ///
    /// ```
    /// # use limits::admission::{Queue, Settings};
    /// let mut queue = Queue::new(Settings::default(), 1);
    /// assert_eq!(queue.next(std::time::Instant::now()), None);
    /// ```
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self, now: Instant) -> Option<Next> {
        if self.running >= self.capacity {
            return None;
        }
        let (order, waiting) = self.waiting.pop_first()?;
        self.tickets.remove(&waiting.ticket);
        if now + waiting.expected > waiting.deadline {
            return Some(Next::Shed(waiting.ticket));
        }
        self.clocks[usize::from(order.priority)] = order.tag;
        self.running += 1;
        Some(Next::Run(waiting.ticket))
    }

    /// Takes out a request whose caller no longer waits.
    ///
    /// ```
    /// # use limits::admission::{Queue, Settings};
    /// assert!(!Queue::new(Settings::default(), 1).cancel(7));
    /// ```
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let order = self.tickets.remove(&ticket);
        order.is_some_and(|order| self.waiting.remove(&order).is_some())
    }

    /// A request has ended; its run time feeds the expected waits.
    ///
    /// ```
    /// # use limits::admission::{Queue, Settings};
    /// let mut queue = Queue::new(Settings::default(), 1);
    /// queue.finish(std::time::Duration::from_millis(80));
    /// assert_eq!(queue.running(), 0);
    /// ```
    pub fn finish(&mut self, took: Duration) {
        self.running = self.running.saturating_sub(1);
        let took = took.as_secs_f64();
        let before = self.run_time.unwrap_or(took);
        self.run_time = Some(before + SMOOTHING * (took - before));
    }

    /// Expected wait of a request of a customer and priority that would come now.
    ///
    /// ```
    /// # use limits::admission::{Queue, Settings};
    /// let queue = Queue::new(Settings::default(), 1);
    /// assert_eq!(queue.expected_wait("c", 5), std::time::Duration::ZERO);
    /// ```
    pub fn expected_wait(&self, customer: &str, priority: u8) -> Duration {
        let free = self.running < self.capacity && self.waiting.is_empty();
        if free {
            return Duration::ZERO;
        }
        self.wait(self.place(customer, priority), Duration::ZERO)
    }

    fn check(&self, now: Instant, request: &Request, wait: Duration) -> Result<(), Refusal> {
        let left = request.deadline.saturating_duration_since(now);
        let needed = wait + request.expected;
        let allowed = left.mul_f64(self.settings.margin);
        if needed <= allowed {
            return Ok(());
        }
        Err(Refusal::Late {
            late: needed.saturating_sub(allowed),
            retry_after: wait.max(request.expected),
        })
    }

    /// Expected wait behind the requests that go first.
    fn wait(&self, order: Order, expected: Duration) -> Duration {
        let ahead = self.waiting.range(..order).count() as f64 + 1.0;
        let run_time = self.run_time.unwrap_or(expected.as_secs_f64());
        let rounds = ahead / f64::from(self.capacity.max(1));
        Duration::from_secs_f64(run_time * rounds)
    }

    fn place(&self, customer: &str, priority: u8) -> Order {
        let clock = self.clocks[usize::from(priority)];
        let key = (priority, customer.to_owned());
        let last = self.flows.get(&key).copied().unwrap_or(0);
        Order {
            priority,
            tag: clock.max(last),
            sequence: self.sequence,
        }
    }

    /// Gives a request its place and moves the customer's tag on.
    fn order(&mut self, request: &Request) -> Order {
        let order = self.place(request.customer, request.priority);
        self.sequence += 1;
        if self.flows.len() >= MAX_FLOWS {
            let clocks = &self.clocks;
            self.flows
                .retain(|(priority, _), tag| *tag > clocks[usize::from(*priority)]);
        }
        let key = (request.priority, request.customer.to_owned());
        let finish = order
            .tag
            .saturating_add(work(request.expected, request.weight));
        self.flows.insert(key, finish);
        order
    }

    fn enqueue(&mut self, request: Request) {
        let order = self.order(&request);
        self.tickets.insert(request.ticket, order);
        let waiting = Waiting {
            ticket: request.ticket,
            deadline: request.deadline,
            expected: request.expected,
        };
        self.waiting.insert(order, waiting);
    }

    /// Takes the place of the last in a full queue, if it goes before that.
    fn replace(&mut self, order: Order, request: Request) -> Result<Offer, Refusal> {
        let last = self.waiting.last_key_value().map(|(last, _)| *last);
        let Some(last) = last.filter(|last| order < *last) else {
            let retry_after = self.wait(order, request.expected);
            return Err(Refusal::Full { retry_after });
        };
        let evicted = self
            .waiting
            .remove(&last)
            .expect("the last key is in the queue");
        self.tickets.remove(&evicted.ticket);
        self.enqueue(request);
        Ok(Offer::Evict(evicted.ticket))
    }
}

//! The admission queue of one pool of backend servers.

use crate::Refusal;
use crate::admission::flow::{Flow, Place, Waiting};
use crate::admission::work::work;
use crate::admission::{Request, Settings, Ticket};
use contract::{CustomerId, Map};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Idle customers whose tags are kept before those that are behind are dropped.
const MAX_IDLE: usize = 256;

/// Share of a new run time in the moving average.
const SMOOTHING: f64 = 0.05;

/// Microseconds in a second.
const MICROS: f64 = 1e6;

/// A customer at a priority, which is served before higher ones.
type Key = (u8, CustomerId);

/// What happens to an offered request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It runs now.
    Run,
    /// It waits.
    Wait,
    /// It waits in place of another, which is refused.
    Evict(Ticket),
}

/// What happens to a waiting request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Dequeued {
    /// It runs now.
    Run(Ticket),
    /// Its deadline can't be met any more.
    Shed(Ticket),
}

/// Requests before one pool of backend servers: priorities first, weighted fair shares of the work
/// between customers of a priority, the earliest deadline within a customer, and no request that
/// can't be answered in time.
#[derive(Debug)]
pub struct Queue {
    settings: Settings,
    capacity: u32,
    running: u32,
    /// Customers with waiting requests.
    flows: BTreeMap<Key, Flow>,
    /// Tags of customers without waiting requests.
    idle: Map<Key, u64>,
    /// Tag of the last request that ran, by priority.
    clocks: Map<u8, u64>,
    tickets: Map<Ticket, (Key, Place)>,
    /// Moving average of the run time in seconds.
    run_time: Option<f64>,
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
            flows: BTreeMap::new(),
            idle: Map::default(),
            clocks: Map::default(),
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
        self.tickets.len()
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
    /// use limits::admission::{Decision, Queue, Request, Settings};
    /// use std::time::{Duration, Instant};
    /// let now = Instant::now();
    /// let mut queue = Queue::new(Settings::default(), 1);
    /// let request = Request {
    ///     ticket: 1, customer: "c", priority: 5, weight: 1,
    ///     deadline: now + Duration::from_secs(3), expected: Duration::from_secs(1),
    /// };
    /// assert_eq!(queue.admit(now, request), Ok(Decision::Run));
    /// assert_eq!(queue.admit(now, Request { ticket: 2, ..request }), Ok(Decision::Wait));
    /// assert!(queue.admit(now, Request { ticket: 3, ..request }).is_err());
    /// ```
    pub fn admit(&mut self, now: Instant, request: Request) -> Result<Decision, Refusal> {
        let wait = self.expected_wait(&request);
        self.check(now, &request, wait)?;
        if self.idle() {
            self.charge(&request);
            self.running += 1;
            return Ok(Decision::Run);
        }
        if self.tickets.len() < self.settings.max_waiting {
            self.enqueue(request);
            return Ok(Decision::Wait);
        }
        let evicted = self.victim(&request).ok_or(Refusal::Full {
            retry_after: wait.max(request.expected),
        })?;
        self.cancel(evicted);
        self.enqueue(request);
        Ok(Decision::Evict(evicted))
    }

    /// Takes the next request that runs or is too late; none when nothing can start. Ask again
    /// until it returns none.
    ///
    /// ```
    /// # use limits::admission::{Queue, Settings};
    /// let mut queue = Queue::new(Settings::default(), 1);
    /// assert_eq!(queue.dequeue(std::time::Instant::now()), None);
    /// ```
    pub fn dequeue(&mut self, now: Instant) -> Option<Dequeued> {
        if self.running >= self.capacity {
            return None;
        }
        let key = self.turn()?;
        let flow = self.flows.get_mut(&key)?;
        let place = flow.first()?;
        let waiting = flow.remove(place)?;
        let (deadline, ticket) = place;
        self.tickets.remove(&ticket);
        let late = now + waiting.expected > deadline;
        if !late {
            self.clocks.insert(key.0, flow.tag);
            flow.tag += work(waiting.expected, waiting.weight);
            self.running += 1;
        }
        self.settle(&key);
        Some(if late {
            Dequeued::Shed(ticket)
        } else {
            Dequeued::Run(ticket)
        })
    }

    /// Takes out a request whose caller no longer waits.
    ///
    /// ```
    /// # use limits::admission::{Queue, Settings};
    /// assert!(!Queue::new(Settings::default(), 1).cancel(7));
    /// ```
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let Some((key, place)) = self.tickets.remove(&ticket) else {
            return false;
        };
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.remove(place);
        }
        self.settle(&key);
        true
    }

    /// A request has ended; its run time feeds the expected waits.
    ///
    /// ```
    /// # use limits::admission::{Queue, Settings};
    /// let mut queue = Queue::new(Settings::default(), 1);
    /// queue.complete(std::time::Duration::from_millis(80));
    /// assert_eq!(queue.running(), 0);
    /// ```
    pub fn complete(&mut self, run_time: Duration) {
        self.running = self.running.saturating_sub(1);
        let run_time = run_time.as_secs_f64();
        let before = self.run_time.unwrap_or(run_time);
        self.run_time = Some(before + SMOOTHING * (run_time - before));
    }

    /// Expected wait of a request that would come now.
    ///
    /// ```
    /// use limits::admission::{Queue, Request, Settings};
    /// use std::time::{Duration, Instant};
    /// let request = Request {
    ///     ticket: 1, customer: "c", priority: 5, weight: 1,
    ///     deadline: Instant::now(), expected: Duration::from_secs(1),
    /// };
    /// let queue = Queue::new(Settings::default(), 1);
    /// assert_eq!(queue.expected_wait(&request), Duration::ZERO);
    /// ```
    pub fn expected_wait(&self, request: &Request) -> Duration {
        if self.idle() {
            return Duration::ZERO;
        }
        let run_time = self.run_time.unwrap_or(request.expected.as_secs_f64());
        let ahead = self.work_ahead(request) / MICROS + run_time;
        Duration::from_secs_f64(ahead / f64::from(self.capacity.max(1)))
    }

    /// Whether a request that comes now runs at once.
    fn idle(&self) -> bool {
        self.running < self.capacity && self.tickets.is_empty()
    }

    /// Work in microseconds that goes first: all of better priorities, the customer's own with an
    /// earlier deadline, and of the other customers as much as their weights give them meanwhile.
    fn work_ahead(&self, request: &Request) -> f64 {
        let mine = |key: &Key| key.0 == request.priority && key.1 == request.customer;
        let own = self.flows.iter().find(|(key, _)| mine(key));
        let own = own.map_or(0, |(_, flow)| flow.work_before(request.deadline)) as f64;
        let share =
            (own + request.expected.as_secs_f64() * MICROS) / f64::from(request.weight.max(1));
        let others = self.flows.iter().filter(|(key, _)| !mine(key));
        let others = others.map(|((priority, _), flow)| {
            let work = flow.work() as f64;
            match (*priority).cmp(&request.priority) {
                std::cmp::Ordering::Less => work,
                std::cmp::Ordering::Equal => work.min(share * f64::from(flow.weight.max(1))),
                std::cmp::Ordering::Greater => 0.0,
            }
        });
        own + others.sum::<f64>()
    }

    fn check(&self, now: Instant, request: &Request, wait: Duration) -> Result<(), Refusal> {
        let left = request.deadline.saturating_duration_since(now);
        let needed = wait + request.expected;
        let allowed = left.mul_f64(self.settings.deadline_share);
        if needed <= allowed {
            return Ok(());
        }
        Err(Refusal::Late {
            late: needed.saturating_sub(allowed),
            retry_after: wait.max(request.expected),
        })
    }

    /// The customer whose turn it is: the best priority, then the least weighted work so far.
    fn turn(&self) -> Option<Key> {
        let (best, _) = self.flows.first_key_value()?;
        let priority = best.0;
        self.flows
            .iter()
            .take_while(|(key, _)| key.0 == priority)
            .min_by_key(|(_, flow)| flow.tag)
            .map(|(key, _)| key.clone())
    }

    /// A customer's tag: what it had, but no less than what the others have had meanwhile.
    fn tag(&self, key: &Key) -> u64 {
        let clock = self.clocks.get(&key.0).copied().unwrap_or(0);
        self.idle.get(key).copied().unwrap_or(0).max(clock)
    }

    /// Counts the work of a request that runs without waiting.
    fn charge(&mut self, request: &Request) {
        let key = (request.priority, request.customer.to_owned());
        let tag = self.tag(&key);
        self.clocks.insert(key.0, tag);
        self.rest(key, tag + work(request.expected, request.weight));
    }

    fn enqueue(&mut self, request: Request) {
        let key = (request.priority, request.customer.to_owned());
        let tag = self.tag(&key);
        let flow = self
            .flows
            .entry(key.clone())
            .or_insert_with(|| Flow::new(tag, request.weight));
        flow.weight = request.weight;
        let place = (request.deadline, request.ticket);
        let waiting = Waiting {
            expected: request.expected,
            weight: request.weight,
        };
        flow.push(place, waiting);
        self.tickets.insert(request.ticket, (key, place));
    }

    /// Moves a customer without waiting requests to the idle ones.
    fn settle(&mut self, key: &Key) {
        let empty = self
            .flows
            .get(key)
            .is_some_and(|flow| flow.waiting.is_empty());
        if !empty {
            return;
        }
        if let Some((key, flow)) = self.flows.remove_entry(key) {
            self.rest(key, flow.tag);
        }
    }

    fn rest(&mut self, key: Key, tag: u64) {
        if self.idle.len() >= MAX_IDLE {
            let clocks = &self.clocks;
            self.idle.retain(|(priority, _), tag| {
                clocks.get(priority).is_none_or(|clock| *tag > *clock)
            });
        }
        self.idle.insert(key, tag);
    }

    /// Whose place a request takes in a full queue: the latest of the customer with the most work
    /// waiting, in the worst priority. None when that is the request itself.
    fn victim(&self, request: &Request) -> Option<Ticket> {
        let (worst, _) = self.flows.last_key_value()?;
        let priority = worst.0;
        if request.priority > priority {
            return None;
        }
        let flows = self.flows.iter().filter(|(key, _)| key.0 == priority);
        let (key, flow) = flows.max_by_key(|((_, customer), flow)| {
            let load = flow.work() / u64::from(flow.weight.max(1));
            (load, Reverse(customer.clone()))
        })?;
        let last = flow.last()?;
        let own = key.0 == request.priority && key.1 == request.customer;
        let later = (request.deadline, request.ticket) > last;
        (!(own && later)).then_some(last.1)
    }
}

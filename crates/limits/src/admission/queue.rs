//! Admission queue of one pool of backend servers.

use crate::Refusal;
use crate::admission::flow::{Flow, Position, Waiting};
use crate::admission::work::weighted_work;
use crate::admission::{Request, Settings, Ticket};
use contract::{CustomerId, Map};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Number of idle flows above which those whose tags are behind the virtual time are dropped.
const MAX_IDLE: usize = 256;

/// Weight of the newest run time in the moving average.
const SMOOTHING: f64 = 0.05;

/// Microseconds per second.
const MICROS_PER_S: f64 = 1e6;

/// Identifies a flow: priority (lower values are served first) and customer.
type FlowKey = (u8, CustomerId);

/// Outcome for a request that asked for admission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It runs now.
    Run,
    /// It waits.
    Wait,
    /// It waits in place of another request, which is refused.
    Evict(Ticket),
}

/// Outcome for a waiting request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Dequeued {
    /// It runs now.
    Run(Ticket),
    /// It can no longer meet its deadline and is refused.
    Shed(Ticket),
}

/// Admission queue of one pool of backend servers.
///
/// Requests are ordered by priority, then by weighted fair queueing between customers, then by
/// deadline within a customer. A request that is not expected to meet its deadline is refused.
#[derive(Debug)]
pub struct Queue {
    settings: Settings,
    capacity: u32,
    running: u32,
    /// Flows with waiting requests.
    flows: BTreeMap<FlowKey, Flow>,
    /// Tags of flows without waiting requests.
    idle_tags: Map<FlowKey, u64>,
    /// Virtual time by priority: start tag of the last request that ran.
    virtual_times: Map<u8, u64>,
    tickets: Map<Ticket, (FlowKey, Position)>,
    /// Moving average of the run time in seconds.
    run_time: Option<f64>,
}

impl Queue {
    /// Creates an empty queue for a pool that runs `capacity` requests at once.
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
            idle_tags: Map::default(),
            virtual_times: Map::default(),
            tickets: Map::default(),
            run_time: None,
        }
    }

    /// Number of running requests.
    ///
    /// ```
    /// # use limits::admission::{Queue, Settings};
    /// assert_eq!(Queue::new(Settings::default(), 4).running(), 0);
    /// ```
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Number of waiting requests.
    ///
    /// ```
    /// # use limits::admission::{Queue, Settings};
    /// assert_eq!(Queue::new(Settings::default(), 4).waiting(), 0);
    /// ```
    pub fn waiting(&self) -> usize {
        self.tickets.len()
    }

    /// Sets how many requests may run at once.
    ///
    /// ```
    /// # use limits::admission::{Queue, Settings};
    /// Queue::new(Settings::default(), 4).resize(8);
    /// ```
    pub fn resize(&mut self, capacity: u32) {
        self.capacity = capacity;
    }

    /// Runs, queues or refuses a request.
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
        self.check_deadline(now, &request, wait)?;
        if self.has_free_capacity() {
            self.account(&request);
            self.running += 1;
            return Ok(Decision::Run);
        }
        if self.tickets.len() < self.settings.max_waiting {
            self.enqueue(request);
            return Ok(Decision::Wait);
        }
        let evicted = self.eviction_victim(&request).ok_or(Refusal::Full {
            retry_after: wait.max(request.expected),
        })?;
        self.cancel(evicted);
        self.enqueue(request);
        Ok(Decision::Evict(evicted))
    }

    /// Removes the next request that may run or that is too late. Returns `None` when nothing can
    /// start; call it until then.
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
        let key = self.next_flow()?;
        let flow = self.flows.get_mut(&key)?;
        let position = flow.first()?;
        let waiting = flow.remove(position)?;
        let (deadline, ticket) = position;
        self.tickets.remove(&ticket);
        let late = now + waiting.expected > deadline;
        if !late {
            self.virtual_times.insert(key.0, flow.tag);
            flow.tag += weighted_work(waiting.expected, waiting.weight);
            self.running += 1;
        }
        self.retire_if_empty(&key);
        Some(if late {
            Dequeued::Shed(ticket)
        } else {
            Dequeued::Run(ticket)
        })
    }

    /// Removes a waiting request whose caller has gone. Returns whether it was waiting.
    ///
    /// ```
    /// # use limits::admission::{Queue, Settings};
    /// assert!(!Queue::new(Settings::default(), 1).cancel(7));
    /// ```
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let Some((key, position)) = self.tickets.remove(&ticket) else {
            return false;
        };
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.remove(position);
        }
        self.retire_if_empty(&key);
        true
    }

    /// Records the end of a request. Its run time feeds the estimate of waits.
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

    /// Expected wait of a request if it arrived now.
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
        if self.has_free_capacity() {
            return Duration::ZERO;
        }
        let run_time = self.run_time.unwrap_or(request.expected.as_secs_f64());
        let ahead = self.work_ahead(request) / MICROS_PER_S + run_time;
        Duration::from_secs_f64(ahead / f64::from(self.capacity.max(1)))
    }

    /// Whether a request that arrives now runs at once.
    fn has_free_capacity(&self) -> bool {
        self.running < self.capacity && self.tickets.is_empty()
    }

    /// Work in microseconds that is served before a request: all work of better priorities, the
    /// customer's own work with earlier deadlines, and of every other customer of the same priority
    /// at most what its weight entitles it to in the meantime.
    fn work_ahead(&self, request: &Request) -> f64 {
        let is_own = |key: &FlowKey| key.0 == request.priority && key.1 == request.customer;
        let flow = self.flows.iter().find(|(key, _)| is_own(key));
        let own = flow.map_or(0, |(_, flow)| flow.work_before(request.deadline)) as f64;
        let share = (own + request.expected.as_secs_f64() * MICROS_PER_S)
            / f64::from(request.weight.max(1));
        let others = self.flows.iter().filter(|(key, _)| !is_own(key));
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

    /// Refuses a request that is not expected to meet its deadline.
    fn check_deadline(
        &self,
        now: Instant,
        request: &Request,
        wait: Duration,
    ) -> Result<(), Refusal> {
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

    /// The flow to serve next: best priority, then lowest tag.
    fn next_flow(&self) -> Option<FlowKey> {
        let (best, _) = self.flows.first_key_value()?;
        let priority = best.0;
        self.flows
            .iter()
            .take_while(|(key, _)| key.0 == priority)
            .min_by_key(|(_, flow)| flow.tag)
            .map(|(key, _)| key.clone())
    }

    /// Start tag of a flow that becomes active: its last tag, but at least the virtual time, so
    /// that an idle customer accumulates no credit.
    fn start_tag(&self, key: &FlowKey) -> u64 {
        let virtual_time = self.virtual_times.get(&key.0).copied().unwrap_or(0);
        self.idle_tags
            .get(key)
            .copied()
            .unwrap_or(0)
            .max(virtual_time)
    }

    /// Accounts for the work of a request that runs without waiting.
    fn account(&mut self, request: &Request) {
        let key = (request.priority, request.customer.to_owned());
        let tag = self.start_tag(&key);
        self.virtual_times.insert(key.0, tag);
        self.keep_idle_tag(key, tag + weighted_work(request.expected, request.weight));
    }

    fn enqueue(&mut self, request: Request) {
        let key = (request.priority, request.customer.to_owned());
        let tag = self.start_tag(&key);
        let flow = self
            .flows
            .entry(key.clone())
            .or_insert_with(|| Flow::new(tag, request.weight));
        flow.weight = request.weight;
        let position = (request.deadline, request.ticket);
        let waiting = Waiting {
            expected: request.expected,
            weight: request.weight,
        };
        flow.push(position, waiting);
        self.tickets.insert(request.ticket, (key, position));
    }

    /// Moves a flow without waiting requests to the idle ones.
    fn retire_if_empty(&mut self, key: &FlowKey) {
        let empty = self
            .flows
            .get(key)
            .is_some_and(|flow| flow.waiting.is_empty());
        if !empty {
            return;
        }
        if let Some((key, flow)) = self.flows.remove_entry(key) {
            self.keep_idle_tag(key, flow.tag);
        }
    }

    /// Keeps the tag of an idle flow. Tags behind the virtual time are dropped when there are too
    /// many, because `start_tag` would not use them anyway.
    fn keep_idle_tag(&mut self, key: FlowKey, tag: u64) {
        if self.idle_tags.len() >= MAX_IDLE {
            let virtual_times = &self.virtual_times;
            self.idle_tags.retain(|(priority, _), tag| {
                virtual_times.get(priority).is_none_or(|time| *tag > *time)
            });
        }
        self.idle_tags.insert(key, tag);
    }

    /// The request to evict from a full queue in favour of another one: in the worst priority, the
    /// request with the latest deadline of the customer with the most weighted work waiting. `None`
    /// if the new request is the one to refuse.
    fn eviction_victim(&self, request: &Request) -> Option<Ticket> {
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

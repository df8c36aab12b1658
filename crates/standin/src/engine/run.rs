//! State of a running engine, and the life of one request in it.

use super::call::{Completion, Headers};
use super::prefix::Prefixes;
use super::{Admission, Counters, Order, Settings, Slots};
use crate::journal::{Recorder, Run};
use crate::proxy::{Faults, Proxy};
use crate::rating::{Answer, digest};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Part of the time to first token that remains when the prefix is cached.
const CACHED_PREFIX: f64 = 0.3;

/// Tokens of an answer before and after its words.
const FRAME_TOKENS: usize = 2;

/// Why a request didn't run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// No room.
    Overloaded,
    /// Another model is served.
    Model,
    /// Its fencing number is old.
    Fenced,
    /// The engine fell over.
    Fallen,
}

#[derive(Debug)]
pub(super) struct Shared {
    pub settings: Settings,
    pub recorder: Recorder,
    pub front: OnceLock<Proxy>,
    pub address: OnceLock<String>,
    state: Mutex<Guarded>,
    freed: Notify,
}

#[derive(Debug)]
struct Guarded {
    slots: Slots,
    prefixes: Prefixes,
    quality: f64,
    slow: f64,
    fenced: bool,
    highest_fence: u64,
    poison: Option<String>,
    report: (Instant, usize, usize),
}

/// A request that runs; its slot is free when this is dropped.
#[derive(Debug)]
pub(super) struct Job {
    shared: Arc<Shared>,
    generation: u64,
    completed: bool,
    /// What the engine will answer.
    pub answer: Answer,
    /// Tokens of the prompt.
    pub prompt_tokens: usize,
    /// Time to first token.
    pub first_token: Duration,
    /// Time between tokens.
    pub inter_token: Duration,
}

impl Shared {
    pub fn new(settings: Settings, recorder: Recorder) -> Self {
        let state = Mutex::new(Guarded {
            slots: Slots::new(&settings),
            prefixes: Prefixes::new(settings.prefixes),
            quality: settings.quality,
            slow: 1.0,
            fenced: settings.fenced,
            highest_fence: 0,
            poison: settings.poison.clone(),
            report: (Instant::now(), 0, 0),
        });
        Self {
            settings,
            recorder,
            front: OnceLock::new(),
            address: OnceLock::new(),
            state,
            freed: Notify::new(),
        }
    }

    pub fn served(&self) -> String {
        format!("{}@{}", self.settings.model, self.settings.version)
    }

    pub fn counters(&self) -> Counters {
        self.lock().slots.counters
    }

    pub fn is_cold(&self) -> bool {
        self.lock().slots.is_cold()
    }

    /// Requests that run and wait, as they were up to a lag ago.
    pub fn report(&self, now: Instant) -> (usize, usize) {
        let mut state = self.lock();
        let (taken, running, waiting) = state.report;
        if now.saturating_duration_since(taken) >= self.settings.metrics_lag {
            state.report = (now, state.slots.running(), state.slots.waiting());
        }
        (running, waiting)
    }

    pub fn order(self: &Arc<Self>, order: Order) {
        if order == Order::FallOver {
            self.fall_over();
            return;
        }
        let mut state = self.lock();
        match order {
            Order::Cold => {
                state.slots.turn_cold(Instant::now());
                state.prefixes.clear();
            }
            Order::FallOver => {}
            Order::Fenced(fenced) => state.fenced = fenced,
            Order::Leave => state.slots.set_leaving(true),
            Order::Return => state.slots.set_leaving(false),
            Order::Quality(quality) => state.quality = quality,
            Order::Slow(factor) => state.slow = factor,
            Order::Poison(text) => state.poison = text,
        }
    }

    /// Admits a request, which then runs until the job is dropped.
    pub async fn admit(
        self: &Arc<Self>,
        call: &Completion,
        headers: &Headers,
    ) -> Result<Job, Refusal> {
        if call.model != self.served() {
            return Err(Refusal::Model);
        }
        self.check_fence(headers.fence)?;
        let run = self.received(call, headers);
        let admission = self.lock().slots.arrive(Instant::now());
        match admission {
            Admission::Run => {}
            Admission::Refuse => return Err(Refusal::Overloaded),
            Admission::Wait => self.wait_for_slot(call.priority).await?,
            Admission::Overrun => {
                self.recorder.record(run);
                self.fall_over();
                return Err(Refusal::Fallen);
            }
        }
        self.recorder.record(run);
        let prompt = call.prompt();
        let poisoned = self
            .lock()
            .poison
            .as_ref()
            .is_some_and(|text| prompt.contains(text));
        if poisoned {
            self.fall_over();
            return Err(Refusal::Fallen);
        }
        Ok(self.job(call, &prompt))
    }

    fn job(self: &Arc<Self>, call: &Completion, prompt: &str) -> Job {
        let mut state = self.lock();
        let cached = state.prefixes.hit(prompt);
        let cold = if state.slots.is_cold() {
            self.settings.cold_factor
        } else {
            1.0
        };
        let first = if cached { CACHED_PREFIX } else { 1.0 } * cold;
        let most = call
            .max_tokens
            .unwrap_or(usize::MAX)
            .saturating_sub(FRAME_TOKENS);
        Job {
            shared: Arc::clone(self),
            generation: state.slots.generation(),
            completed: false,
            answer: Answer {
                served: self.served(),
                prompt: digest(&call.question()),
                quality: state.quality,
                words: most.min(self.settings.words),
            },
            prompt_tokens: prompt.split_whitespace().count().max(1),
            first_token: self.settings.first_token.mul_f64(first * state.slow),
            inter_token: self.settings.inter_token.mul_f64(state.slow),
        }
    }

    fn received(&self, call: &Completion, headers: &Headers) -> Run {
        let backend = self.address.get().map(String::as_str).unwrap_or_default();
        Run {
            model: self.settings.model.clone(),
            version: self.settings.version.clone(),
            subject: call.question(),
            ..headers.run(backend, "engine")
        }
    }

    fn check_fence(&self, fence: Option<u64>) -> Result<(), Refusal> {
        let mut state = self.lock();
        let Some(fence) = fence.filter(|_| state.fenced) else {
            return Ok(());
        };
        if fence < state.highest_fence {
            state.slots.counters.fenced += 1;
            return Err(Refusal::Fenced);
        }
        state.highest_fence = fence;
        Ok(())
    }

    async fn wait_for_slot(&self, priority: i64) -> Result<(), Refusal> {
        let (generation, ticket) = {
            let mut state = self.lock();
            (state.slots.generation(), state.slots.enqueue(priority))
        };
        loop {
            let freed = self.freed.notified();
            tokio::pin!(freed);
            freed.as_mut().enable();
            {
                let mut state = self.lock();
                if state.slots.generation() != generation {
                    return Err(Refusal::Fallen);
                }
                if state.slots.turn(ticket) {
                    return Ok(());
                }
            }
            freed.await;
        }
    }

    fn fall_over(self: &Arc<Self>) {
        let recovery = self.settings.recovery;
        self.lock().slots.fall_over(Instant::now(), recovery);
        self.freed.notify_waiters();
        let Some(front) = self.front.get() else {
            return;
        };
        front.set(Faults::refused());
        let shared = Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep(recovery).await;
            if let Some(front) = shared.front.get() {
                front.heal();
            }
        });
    }

    fn lock(&self) -> MutexGuard<'_, Guarded> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Job {
    /// Marks the answer as complete.
    pub fn complete(mut self) {
        self.completed = true;
    }
}

impl Drop for Job {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.slots.finish(self.generation, self.completed);
        drop(state);
        self.shared.freed.notify_waiters();
    }
}

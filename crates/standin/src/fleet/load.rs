//! Callers that keep sending while a failure happens.

use super::{Ask, Call, Caller, Entry, Log, Session};
use crate::history::{Outcome, Request};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::task::JoinHandle;

const ATTEMPTS: usize = 4;
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// What callers ask for.
#[derive(Clone, Debug)]
pub struct Mix {
    /// Callers at once.
    pub callers: usize,
    /// Pause of a caller between requests.
    pub pause: Duration,
    /// Customers, drawn evenly.
    pub customers: Vec<String>,
    /// Models, versions and tasks, drawn evenly.
    pub models: Vec<String>,
    /// Share of streamed completions.
    pub streams: f64,
    /// Share of requests that confirm a booking.
    pub confirmations: f64,
    /// Share of requests that look a booking up.
    pub lookups: f64,
    /// Share of callers that hold a session.
    pub sessions: f64,
}

impl Default for Mix {
    fn default() -> Self {
        let owned = |names: &[&str]| names.iter().map(ToString::to_string).collect();
        Self {
            callers: 8,
            pause: Duration::from_millis(30),
            customers: owned(&["north", "south"]),
            models: owned(&["tag", "draft", "small", "large@1"]),
            streams: 0.5,
            confirmations: 0.2,
            lookups: 0.05,
            sessions: 0.5,
        }
    }
}

/// Running callers.
#[derive(Debug)]
pub struct Load {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
}

struct Worker {
    number: u64,
    mix: Mix,
    entries: Vec<Entry>,
    caller: Caller,
    random: SmallRng,
    sent: u64,
    session: Option<Session>,
    sessions: u64,
}

impl Load {
    /// Starts callers that go on until `finish`.
    pub fn start(seed: u64, mix: &Mix, entries: &[Entry], log: &Arc<Log>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let callers = (0..mix.callers as u64).map(|number| {
            let worker = Worker {
                number,
                mix: mix.clone(),
                entries: entries.to_vec(),
                caller: Caller::new(Arc::clone(log)),
                random: SmallRng::seed_from_u64(seed.wrapping_mul(1_000) + number),
                sent: 0,
                session: None,
                sessions: 0,
            };
            tokio::spawn(worker.run(Arc::clone(&stop)))
        });
        let callers = callers.collect();
        Self { stop, callers }
    }

    /// Lets each caller end its request and waits for all.
    pub async fn finish(self) {
        self.stop.store(true, Ordering::Relaxed);
        for caller in self.callers {
            let _ = caller.await;
        }
    }
}

impl Worker {
    async fn run(mut self, stop: Arc<AtomicBool>) {
        let holds_sessions = self.random.random_bool(self.mix.sessions);
        while !stop.load(Ordering::Relaxed) {
            let drawn: f64 = self.random.random();
            if drawn < self.mix.confirmations {
                self.confirm().await;
            } else if drawn < self.mix.confirmations + self.mix.lookups {
                self.look_up().await;
            } else {
                self.chat(holds_sessions).await;
            }
            tokio::time::sleep(self.mix.pause).await;
        }
    }

    async fn chat(&mut self, holds_sessions: bool) {
        let customer = self.customer(holds_sessions);
        if holds_sessions && self.session.is_none() {
            self.sessions += 1;
            let number = self.number * 100_000 + self.sessions;
            self.session = Some(Session {
                number,
                token: None,
            });
        }
        let model = if holds_sessions {
            "tag".to_owned()
        } else {
            self.draw(&self.mix.models.clone())
        };
        let stream = self.random.random_bool(self.mix.streams);
        let mut at = self.random.random_range(0..self.entries.len());
        for _ in 0..ATTEMPTS {
            let mut ask = Ask {
                customer: customer.clone(),
                model: model.clone(),
                stream,
                prompt: self.subject("prompt"),
                session: self.session.clone(),
            };
            let request = self.caller.chat(&self.entries[at], &mut ask).await;
            self.keep_session(&request, ask.session);
            if !request.told_not_run() {
                return;
            }
            at = (at + 1) % self.entries.len();
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// A session ends where its version is withdrawn, or where its first answer was lost.
    fn keep_session(&mut self, request: &Request, session: Option<Session>) {
        let over = matches!(&request.outcome, Outcome::Refused { code, .. }
            if code == "version_withdrawn" || code == "invalid_session" || code == "forbidden");
        self.session = session.filter(|session| !over && session.token.is_some());
    }

    async fn confirm(&mut self) {
        let subject = self.subject("booking");
        let call = Call {
            customer: self.customer(false),
            key: Some(format!("key-{subject}")),
            subject,
        };
        let mut at = self.random.random_range(0..self.entries.len());
        for _ in 0..ATTEMPTS {
            let request = self.caller.call(&self.entries[at], &call).await;
            if request.answered() {
                return;
            }
            at = (at + 1) % self.entries.len();
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn look_up(&mut self) {
        let call = Call {
            customer: self.customer(false),
            key: None,
            subject: "0".to_owned(),
        };
        let at = self.random.random_range(0..self.entries.len());
        self.caller.call(&self.entries[at], &call).await;
    }

    /// A session belongs to one customer.
    fn customer(&mut self, holds_sessions: bool) -> String {
        if holds_sessions {
            let index = self.number as usize % self.mix.customers.len();
            return self.mix.customers[index].clone();
        }
        self.draw(&self.mix.customers.clone())
    }

    fn subject(&mut self, kind: &str) -> String {
        self.sent += 1;
        format!("{kind}-{}-{}", self.number, self.sent)
    }

    fn draw(&mut self, names: &[String]) -> String {
        names[self.random.random_range(0..names.len())].clone()
    }
}

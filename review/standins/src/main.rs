//! The cases of the review: `review-cases CASE FOLDER`. Ends with 1 if the rule was broken, with 0 if it
//! held, and with 2 if the case couldn't run. With `TROUBLE=0` there is no disruption.

mod hang;
mod http;
mod json;
mod memory;
mod poison;
mod refused;
mod rollout;
mod site;
mod stop;
mod store;
mod worker;

use site::{Callers, Record, Site};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What a case found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    Held,
    Broken,
    CannotRun,
}

/// What all cases get.
pub struct Case {
    pub record: Arc<Record>,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

/// One client attempt.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub at: Instant,
    pub node: SocketAddr,
    pub got: http::Got,
    pub done: Instant,
    /// What the request is about.
    pub subject: String,
}

/// All client attempts of a case.
pub type AllSent = Arc<Mutex<Vec<Sent>>>;

/// A request as a text.
pub struct Outgoing<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub headers: &'a str,
    pub body: &'a str,
    pub deadline: Duration,
    /// Time after which the client leaves.
    pub patience: Duration,
    pub subject: &'a str,
}

/// Sends one client attempt to an address of the directory and notes its end.
pub fn attempt(callers: &Callers, all: &AllSent, out: &Outgoing) -> Option<Sent> {
    let node = callers.address()?;
    let id = callers.id();
    let text = format!(
        "{} {} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\nKey: key-1\r\n{}Content-Length: {}\r\n\r\n{}",
        out.method,
        out.path,
        out.deadline.as_millis(),
        out.headers,
        out.body.len(),
        out.body
    );
    let at = Instant::now();
    let got = http::call(node, text.as_bytes(), at + out.patience);
    if !matches!(got, http::Got::Answer(..)) {
        callers.mark_failed(node);
    }
    let sent = Sent {
        id,
        at,
        node,
        got,
        done: Instant::now(),
        subject: out.subject.to_owned(),
    };
    if let Ok(mut all) = all.lock() {
        all.push(sent.clone());
    }
    Some(sent)
}

/// Runs a job at a steady rate for a time, each time in a thread of its own.
pub fn drive(
    rate: f64,
    time: Duration,
    job: impl Fn(u64) + Send + Sync + 'static,
) -> thread::JoinHandle<()> {
    let job = Arc::new(job);
    thread::spawn(move || {
        let start = Instant::now();
        for number in 0.. {
            let due = start + Duration::from_secs_f64(number as f64 / rate);
            if due.duration_since(start) >= time {
                return;
            }
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let job = Arc::clone(&job);
            thread::spawn(move || job(number));
        }
    })
}

/// Writes all attempts and arrivals to the record.
pub fn write_down(site: &Site, sent: &[Sent], arrivals: &[worker::Arrival]) {
    let record = &site.record;
    record.line("client attempts: when sent, id, subject, machine, result, when it ended");
    for sent in sent {
        let node = site.node_at(sent.node);
        let (result, end) = (sent.got.name(), record.seconds(sent.done));
        record.line_at(
            sent.at,
            &format!(
                "sent {} {} to {node}: {result} at {end:.3}",
                sent.id, sent.subject
            ),
        );
    }
    record.line("arrivals at workers: when, id, worker, what it did");
    for arrival in arrivals {
        let (id, worker) = (&arrival.request_id, &arrival.worker);
        record.line_at(
            arrival.at,
            &format!("arrived {id} at {worker}: {}", arrival.outcome),
        );
    }
}

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (words.next(), words.next()) else {
        eprintln!("review-cases CASE FOLDER");
        return ExitCode::from(2);
    };
    let case = Case {
        record: Record::open(&format!("{folder}/record.txt")),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let verdict = match name.as_str() {
        "rollout" => rollout::run(&case),
        "refused" => refused::run(&case),
        "hang" => hang::run(&case),
        "memory" => memory::run(&case),
        "stop" => stop::run(&case),
        "poison-same-id" => poison::run(&case, poison::Kind::SameId),
        "poison" => poison::run(&case, poison::Kind::Long),
        _ => Verdict::CannotRun,
    };
    case.record.say(&format!("verdict: {verdict:?}"));
    ExitCode::from(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::CannotRun => 2,
    })
}

//! Workers that run a request and answer 429, 408 or 503 without `Not-Executed`.

use crate::site::{Callers, ListedWorker, Site, config, unix_ms, watch};
use crate::worker::{Arrivals, Worker};
use crate::{AllSent, Case, Outgoing, Verdict, attempt, drive, write_down};
use std::collections::HashMap;
use std::thread::sleep;
use std::time::{Duration, Instant};

const WORKERS: usize = 8;
/// Bookings a second.
const RATE: f64 = 64.0;
const LENGTH: Duration = Duration::from_secs(20);
/// The disruption: from when, for how long, and the share of the requests that fail.
const TROUBLE_AT: Duration = Duration::from_secs(5);
const TROUBLE_TIME: Duration = Duration::from_millis(6500);
const FAIL_PERCENT: u64 = 45;

pub fn run(case: &Case) -> Verdict {
    let site = Site::new(case.record.clone(), 2);
    watch(&site, &case.record, Duration::from_secs(100));
    let arrivals = Arrivals::default();
    let (sent, start, trouble) = (AllSent::default(), Instant::now(), case.trouble);
    let mut workers = Vec::new();
    let begin = start + Duration::from_secs(3);
    for index in 0..WORKERS {
        let is_grey = trouble && index == 0;
        let worker = Worker::start(
            &format!("i-{index}"),
            "127.0.0.1:0",
            &arrivals,
            move |worker, request, stream| {
                let entry = worker.arrived(request, "runs");
                sleep(Duration::from_millis(60));
                let since = Instant::now().saturating_duration_since(begin);
                let now = since >= TROUBLE_AT && since < TROUBLE_AT + TROUBLE_TIME;
                let fails = is_grey && now && entry as u64 * 37 % 100 < FAIL_PERCENT;
                match fails {
                    true => {
                        worker.set_outcome(entry, "ran, answered 429 without Not-Executed");
                        worker.reply(request, stream, 429, "the booking was made; too many today")
                    }
                    false => {
                        worker.set_outcome(entry, "ran, answered 200");
                        worker.reply(request, stream, 200, "booked")
                    }
                }
            },
        );
        let Ok(worker) = worker else {
            return Verdict::CannotRun;
        };
        site.list(&ListedWorker {
            id: &worker.id,
            service: "reservations",
            address: worker.address,
            version: "v1",
            slots: 6,
            state: "ready",
            born: unix_ms(),
        });
        workers.push(worker);
    }
    let route = r#"{"name":"hire-confirm","host":"shop.example","prefix":"/hire/","routeType":"non_idempotent",
"timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"reservations","attempts":1,"anonymous":false}"#;
    let service = r#"{"name":"reservations","maxConnections":96,"coldStartS":0,"coldPerS":0}"#;
    site.store
        .put("op", "config", Some(&config(1, route, service)));
    if !site.start() {
        return Verdict::CannotRun;
    }
    let callers = Callers::new(&site);
    callers.keep_resolving();
    sleep(begin.saturating_duration_since(Instant::now()));
    let (shared, all) = (callers.clone(), sent.clone());
    let load = drive(RATE, LENGTH, move |number| {
        let subject = format!("booking-{number}");
        let out = Outgoing {
            method: "POST",
            path: "/hire/confirm",
            headers: "",
            body: &subject,
            deadline: Duration::from_millis(3000),
            patience: Duration::from_millis(3000),
            subject: &subject,
        };
        let first = attempt(&shared, &all, &out);
        // A caller repeats once, after a promise that the request has not run.
        if first.is_some_and(|sent| matches!(sent.got.status(), 408 | 421 | 429 | 503)) {
            sleep(Duration::from_millis(100));
            attempt(&shared, &all, &out);
        }
    });
    let _ = load.join();
    sleep(Duration::from_secs(4));
    let sent = sent.lock().map(|all| all.clone()).unwrap_or_default();
    let arrivals = arrivals.lock().map(|all| all.clone()).unwrap_or_default();
    write_down(&site, &sent, &arrivals);
    site.keep_logs();
    let mut refused_and_run = 0;
    let mut runs: HashMap<&str, usize> = HashMap::new();
    let mut served = 0;
    for sent in &sent {
        let ran = arrivals
            .iter()
            .filter(|arrival| arrival.request_id == sent.id)
            .count();
        *runs.entry(&sent.subject).or_default() += ran;
        served += usize::from(sent.got.status() == 200);
        let is_promise = matches!(sent.got.status(), 408 | 421 | 429 | 503);
        if is_promise && ran > 0 {
            refused_and_run += 1;
            let text = format!(
                "{} {} was answered {} and has run",
                sent.id,
                sent.subject,
                sent.got.status()
            );
            case.record.line(&text);
        }
    }
    let twice = runs.values().filter(|runs| **runs > 1).count();
    case.record.say(&format!(
        "{} client attempts, {served} served; {refused_and_run} were answered 408, 421, 429 or 503 and have run; {twice} bookings ran more than once",
        sent.len()
    ));
    match (sent.len() < 100 || served < sent.len() / 2, refused_and_run) {
        (true, _) => Verdict::CannotRun,
        (false, 0) => Verdict::Held,
        (false, _) => Verdict::Broken,
    }
}

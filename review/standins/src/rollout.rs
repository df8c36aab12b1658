//! The first machine by name freezes while the others roll a bad version back.

use crate::site::{CONTACT, Callers, ListedWorker, Site, config, unix_ms, watch};
use crate::worker::{Arrivals, Worker};
use crate::{AllSent, Case, Outgoing, Verdict, attempt, drive, write_down};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const SERVICE: &str = "reservations";
/// Requests a second.
const RATE: f64 = 34.0;
/// Time that the operator sets for the roll-out.
const ROLLOUT_S: u64 = 6;
/// When the order is written, after the start of traffic.
const ORDER_AT: Duration = Duration::from_secs(3);
/// When, after the order, the new version turns bad: each second request then fails.
const BAD_AT: Duration = Duration::from_millis(3000);
/// When, after the order, the machine freezes, and for how long.
const FREEZE_AT: Duration = Duration::from_millis(2200);
const FREEZE_TIME: Duration = Duration::from_millis(4000);
const LENGTH: Duration = Duration::from_secs(50);
/// Time after `rolled_back` until the new workers drain, and their time until they end.
const DRAIN_AFTER: Duration = Duration::from_secs(5);
const DRAIN: Duration = Duration::from_millis(2500);
/// Bounds of the rule.
const BAD_ANSWERS: usize = 50;
const ROLLBACK: Duration = Duration::from_millis(5000);
const EXPOSE_SHARE: f64 = 0.15;
const EXPOSE_SLACK: f64 = 30.0;

pub fn run(case: &Case) -> Verdict {
    let site = Site::new(case.record.clone(), 3);
    watch(&site, &case.record, Duration::from_secs(100));
    let (arrivals, sent) = (Arrivals::default(), AllSent::default());
    let is_bad = Arc::new(AtomicBool::new(false));
    let bad_answers = Arc::new(Mutex::new(Vec::new()));
    let counted = Arc::new(AtomicU64::new(0));
    let mut workers = Vec::new();
    let mut start_worker = |version: &'static str, index: usize| {
        let (is_bad, bad_answers, counted) = (is_bad.clone(), bad_answers.clone(), counted.clone());
        let worker = Worker::start(
            &format!("i-{version}-{index}"),
            "127.0.0.1:0",
            &arrivals,
            move |worker, request, stream| {
                let entry = worker.arrived(request, "runs");
                sleep(Duration::from_millis(60));
                let fails = version == "v2"
                    && is_bad.load(Ordering::SeqCst)
                    && counted.fetch_add(1, Ordering::SeqCst) % 2 == 0;
                if fails {
                    worker.set_outcome(entry, "ran, failed with 500");
                    if let Ok(mut all) = bad_answers.lock() {
                        all.push(Instant::now());
                    }
                    return worker.reply(request, stream, 500, "failed");
                }
                worker.set_outcome(entry, "ran, answered 200");
                worker.reply(request, stream, 200, "found")
            },
        )
        .ok()?;
        let born = unix_ms();
        site.list(&entry(&worker, version, "ready", born));
        workers.push((version, born, worker));
        Some(())
    };
    for index in 0..4 {
        if start_worker("v1", index).is_none() {
            return Verdict::CannotRun;
        }
    }
    let route = r#"{"name":"lookup","host":"shop.example","prefix":"/lookup/","routeType":"idempotent",
"timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"reservations","attempts":2,"anonymous":false}"#;
    let service = r#"{"name":"reservations","maxConnections":96,"coldStartS":0,"coldPerS":0}"#;
    site.store
        .put("op", "config", Some(&config(1, route, service)));
    if !site.start() {
        return Verdict::CannotRun;
    }
    let callers = Callers::new(&site);
    callers.keep_resolving();
    sleep(Duration::from_millis(300));
    let (shared, all) = (callers.clone(), sent.clone());
    let load = drive(RATE, LENGTH, move |number| {
        let subject = format!("booking-{number}");
        let out = Outgoing {
            method: "POST",
            path: "/lookup/one",
            headers: "",
            body: &subject,
            deadline: Duration::from_millis(3000),
            patience: Duration::from_millis(1000),
            subject: &subject,
        };
        attempt(&shared, &all, &out);
    });
    sleep(ORDER_AT);
    for index in 0..4 {
        if start_worker("v2", index).is_none() {
            return Verdict::CannotRun;
        }
    }
    let order = format!(r#"{{"service":"{SERVICE}","to":"v2","rolloutS":{ROLLOUT_S}}}"#);
    site.store
        .put("op", &format!("rollout/{SERVICE}"), Some(&order));
    let ordered = Instant::now();
    case.record.line("operator: roll-out to v2 ordered");
    let workers = Arc::new(workers);
    operate(&site, &workers);
    let until =
        |after: Duration| sleep((ordered + after).saturating_duration_since(Instant::now()));
    let first = &site.nodes[0];
    until(FREEZE_AT);
    if case.trouble {
        first.signal("STOP");
        case.record.line(&format!("{} freezes", first.name));
    }
    until(BAD_AT);
    is_bad.store(true, Ordering::SeqCst);
    case.record
        .line("from now on each second request fails at v2");
    until(FREEZE_AT + FREEZE_TIME);
    let woken = Instant::now();
    if case.trouble {
        first.signal("CONT");
        case.record.line(&format!("{} wakes", first.name));
    }
    let _ = load.join();
    sleep(Duration::from_secs(2));
    let sent = sent.lock().map(|all| all.clone()).unwrap_or_default();
    let arrivals = arrivals.lock().map(|all| all.clone()).unwrap_or_default();
    write_down(&site, &sent, &arrivals);
    site.keep_logs();
    let states: Vec<_> = site
        .store
        .written()
        .into_iter()
        .filter(|written| written.table == "status")
        .collect();
    for written in states.iter().take(12) {
        let (at, value) = (case.record.seconds(written.at), &written.value);
        case.record
            .say(&format!("{at:.3} s: a node wrote the status {value}"));
    }
    if states.len() > 12 {
        case.record
            .say(&format!("and {} times more", states.len() - 12));
    }
    for written in &states {
        case.record
            .line_at(written.at, &format!("status written: {}", written.value));
    }
    let by_id: HashMap<_, _> = sent.iter().map(|sent| (sent.id.as_str(), sent)).collect();
    let to_new: Vec<_> = arrivals
        .iter()
        .filter(|arrival| arrival.worker.starts_with("i-v2"))
        .filter_map(|arrival| by_id.get(arrival.request_id.as_str()))
        .filter(|sent| {
            let frozen = case.trouble
                && sent.node == first.frontend
                && sent.at >= ordered + FREEZE_AT
                && sent.at < woken + CONTACT;
            !frozen
        })
        .collect();
    let end = ordered + Duration::from_secs(ROLLOUT_S);
    let within = |at: Instant| at >= ordered && at < end;
    let all = arrivals.iter().filter(|arrival| within(arrival.at)).count();
    let exposed = to_new.iter().filter(|sent| within(sent.at)).count();
    let allowed = EXPOSE_SHARE * all as f64 + EXPOSE_SLACK;
    let bad = bad_answers
        .lock()
        .map(|all| all.clone())
        .unwrap_or_default();
    let fiftieth = bad.get(BAD_ANSWERS - 1).copied();
    let late = fiftieth.map_or(0, |at| {
        to_new.iter().filter(|sent| sent.at > at + ROLLBACK).count()
    });
    let served = sent.iter().filter(|sent| sent.got.status() == 200).count();
    case.record.say(&format!(
        "{} requests, {served} served; v2 got {exposed} of {all} until the roll-out's deadline ({allowed:.0} allowed), and failed {} in all; the 50th at {:?} s, and {late} requests sent over 5 s after it reached v2 from machines in touch",
        sent.len(),
        bad.len(),
        fiftieth.map(|at| case.record.seconds(at))
    ));
    let rolled_back = states
        .iter()
        .any(|written| written.value.contains("rolled_back"));
    if sent.len() < 500 || !rolled_back {
        return Verdict::CannotRun;
    }
    match exposed as f64 > allowed || late > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

fn entry<'a>(worker: &'a Worker, version: &'a str, state: &'a str, born: u64) -> ListedWorker<'a> {
    ListedWorker {
        id: &worker.id,
        service: SERVICE,
        address: worker.address,
        version,
        slots: 6,
        state,
        born,
    }
}

/// The operator reads the status: at `completed` the old workers stop at once, at `rolled_back` the new
/// ones drain some seconds later, if that is the state then.
fn operate(site: &Site, workers: &Arc<Vec<(&'static str, u64, Arc<Worker>)>>) {
    let (store, record, workers) = (site.store.clone(), site.record.clone(), workers.clone());
    thread::spawn(move || {
        let key = format!("rollout/{SERVICE}");
        let mut known = String::new();
        let mut drain_at = None;
        let mut end_at = None;
        loop {
            sleep(Duration::from_millis(100));
            let status = store.get("status", &key).unwrap_or_default();
            let now = Instant::now();
            if status != known {
                record.line(&format!("operator: reads the status {status}"));
                known = status;
                let is_old = |version: &str| version == "v1";
                if known.contains("completed") {
                    drain_at = None;
                    for (_, _, worker) in workers.iter().filter(|(version, ..)| is_old(version)) {
                        if !worker.is_stopped() {
                            worker.stop();
                            store.put("servers", &worker.id, None);
                            record.line(&format!("operator: {} is stopped", worker.id));
                        }
                    }
                } else if known.contains("rolled_back") && drain_at.is_none() && end_at.is_none() {
                    drain_at = Some(now + DRAIN_AFTER);
                }
            }
            let is_back = known.contains("rolled_back");
            if is_back && drain_at.is_some_and(|at| now >= at) {
                drain_at = None;
                end_at = Some(now + DRAIN);
                for (version, born, worker) in workers.iter() {
                    if *version == "v2" {
                        let draining = entry(worker, version, "draining", *born);
                        put(&store, &draining);
                        record.line(&format!("operator: {} drains", worker.id));
                    }
                }
            }
            if end_at.is_some_and(|at| now >= at) {
                end_at = Some(now + Duration::from_secs(3600));
                for (version, _, worker) in workers.iter() {
                    if *version == "v2" {
                        worker.stop();
                        store.put("servers", &worker.id, None);
                    }
                }
            }
        }
    });
}

fn put(store: &crate::store::Store, worker: &ListedWorker) {
    store.put("servers", worker.id, Some(&worker.entry()));
}

//! Workers whose answers have no end, and a platform that kills processes over their memory.

use crate::http::{chunk, head};
use crate::site::{Callers, ListedWorker, Site, config, unix_ms, watch};
use crate::worker::{Arrivals, Worker};
use crate::{AllSent, Case, Outgoing, Verdict, attempt, drive, write_down};
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const WORKERS: usize = 5;
/// Requests a second, and the time that a worker works on one.
const RATE: f64 = 30.0;
const WORK: Duration = Duration::from_millis(1500);
const LENGTH: Duration = Duration::from_secs(56);
const DEADLINE: Duration = Duration::from_millis(6000);
/// The disruption: when it begins each time, in seconds, and for how long.
const TROUBLE_AT: [u64; 4] = [5, 18, 31, 44];
const TROUBLE_TIME: Duration = Duration::from_millis(5500);
/// Bytes of one chunk of an answer without an end, and the pause after it: 3.2 MB a second.
const FLOOD_BYTES: usize = 64 << 10;
const FLOOD_PAUSE: Duration = Duration::from_millis(20);
/// Memory over which the platform kills a process, as the settings file says.
const MEMORY_MB: f64 = 110.0;
/// Time after which it starts a process again.
const RESTART_TIME: Duration = Duration::from_millis(1000);
/// The rule: ends of processes on a machine, and such machines.
const MAX_ENDS: usize = 3;
const MACHINES: usize = 2;

pub fn run(case: &Case) -> Verdict {
    let site = Site::new(case.record.clone(), MACHINES);
    watch(&site, &case.record, Duration::from_secs(100));
    let (arrivals, sent) = (Arrivals::default(), AllSent::default());
    let begin = Instant::now() + Duration::from_secs(3);
    let trouble = case.trouble;
    let mut workers = Vec::new();
    for index in 0..WORKERS {
        // Three of the five workers of the service.
        let is_bad = trouble && index % 2 == 0;
        let worker = Worker::start(
            &format!("i-{index}"),
            "127.0.0.1:0",
            &arrivals,
            move |worker, request, stream| {
                let since = Instant::now().saturating_duration_since(begin);
                let is_now = TROUBLE_AT.iter().any(|at| {
                    let at = Duration::from_secs(*at);
                    since >= at && since < at + TROUBLE_TIME
                });
                if !is_bad || !is_now {
                    let entry = worker.arrived(request, "runs");
                    sleep(WORK);
                    worker.set_outcome(entry, "ran, answered 200");
                    return worker.reply(request, stream, 200, "a report");
                }
                let entry = worker.arrived(request, "answers without an end");
                let seal = format!("seal.{}", worker.id);
                let headers = [
                    ("request-id", request.head.get("request-id")),
                    ("response-seal", seal.as_str()),
                    ("transfer-encoding", "chunked"),
                ];
                let mut bytes = head(200, &headers);
                bytes.extend_from_slice(b"\r\n");
                let mut stream = stream;
                stream.write_all(&bytes)?;
                let (flood, began) = (vec![b'x'; FLOOD_BYTES], Instant::now());
                let error = loop {
                    if let Err(error) = chunk(stream, &flood) {
                        break error;
                    }
                    sleep(FLOOD_PAUSE);
                };
                let took = began.elapsed().as_millis();
                let outcome = format!("answered without an end; the caller closed after {took} ms");
                worker.set_outcome(entry, &outcome);
                Err(error)
            },
        );
        let Ok(worker) = worker else {
            return Verdict::CannotRun;
        };
        site.list(&ListedWorker {
            id: &worker.id,
            service: "reports",
            address: worker.address,
            version: "v1",
            slots: 16,
            state: "ready",
            born: unix_ms(),
        });
        workers.push(worker);
    }
    let route = r#"{"name":"report","host":"shop.example","prefix":"/report/","routeType":"non_idempotent",
"timeoutMs":5000,"targetLatencyMs":3000,"priority":2,"service":"reports","attempts":1,"anonymous":false}"#;
    let service = r#"{"name":"reports","maxConnections":96,"coldStartS":0,"coldPerS":0}"#;
    site.store
        .put("op", "config", Some(&config(1, route, service)));
    if !site.start() {
        return Verdict::CannotRun;
    }
    let ends = Arc::new(Mutex::new(vec![0; site.nodes.len()]));
    let highest = Arc::new(Mutex::new(vec![0.0f64; site.nodes.len()]));
    let stop = Arc::new(AtomicBool::new(false));
    for (index, node) in site.nodes.iter().enumerate() {
        let (node, ends, stop) = (node.clone(), ends.clone(), stop.clone());
        let (highest, record) = (highest.clone(), case.record.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                sleep(Duration::from_millis(5));
                let memory_mb = node.memory_mb();
                if let Ok(mut highest) = highest.lock() {
                    highest[index] = highest[index].max(memory_mb);
                }
                if memory_mb <= MEMORY_MB {
                    continue;
                }
                node.kill();
                let name = &node.name;
                record.line(&format!(
                    "platform: {name} uses {memory_mb:.0} MB of {MEMORY_MB:.0} MB and is killed"
                ));
                if let Ok(mut ends) = ends.lock() {
                    ends[index] += 1;
                }
                sleep(RESTART_TIME);
                if !stop.load(Ordering::SeqCst) && node.spawn().is_ok() {
                    record.line(&format!("platform: {name} is started again"));
                }
            }
        });
    }
    let callers = Callers::new(&site);
    callers.keep_resolving();
    sleep(begin.saturating_duration_since(Instant::now()));
    let (shared, all) = (callers.clone(), sent.clone());
    let load = drive(RATE, LENGTH, move |number| {
        let subject = format!("report-{number}");
        let out = Outgoing {
            method: "POST",
            path: "/report/one",
            headers: "",
            body: &subject,
            deadline: DEADLINE,
            patience: DEADLINE,
            subject: &subject,
        };
        attempt(&shared, &all, &out);
    });
    let _ = load.join();
    sleep(DEADLINE + Duration::from_millis(500));
    stop.store(true, Ordering::SeqCst);
    sleep(Duration::from_millis(50));
    let sent = sent.lock().map(|all| all.clone()).unwrap_or_default();
    let arrivals = arrivals.lock().map(|all| all.clone()).unwrap_or_default();
    write_down(&site, &sent, &arrivals);
    site.keep_logs();
    let served = sent.iter().filter(|sent| sent.got.status() == 200).count();
    let highest = highest.lock().map(|all| all.clone()).unwrap_or_default();
    let ends = ends.lock().map(|all| all.clone()).unwrap_or_default();
    case.record.say(&format!(
        "{} requests, {served} served; highest memory {highest:.0?} MB; processes killed over {MEMORY_MB:.0} MB, by machine: {ends:?}",
        sent.len()
    ));
    if sent.len() < 100 || served < sent.len() / 4 {
        return Verdict::CannotRun;
    }
    match ends.iter().filter(|ends| **ends >= MAX_ENDS).count() >= MACHINES {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

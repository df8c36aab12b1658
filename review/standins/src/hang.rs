//! Model workers that fail a stream and whose answer has no end.

use crate::http::{chunk, head};
use crate::site::{Callers, ListedWorker, Site, config, unix_ms, watch};
use crate::worker::{Arrivals, Worker};
use crate::{AllSent, Case, Outgoing, Verdict, attempt, drive, write_down};
use std::io::Write;
use std::thread::sleep;
use std::time::{Duration, Instant};

const WORKERS: usize = 4;
/// Requests a second.
const RATE: f64 = 12.0;
const LENGTH: Duration = Duration::from_secs(20);
/// The operator's longest time for a request of the route.
const TIMEOUT: Duration = Duration::from_millis(5000);
/// A client leaves after the longest of two seconds, four times the objective (1 s) and eight times
/// the pause (1 s).
const PATIENCE: Duration = Duration::from_millis(8000);
const DEADLINE: Duration = Duration::from_millis(15_000);
/// Time after the route's timeout from which an answer is missing, and requests without one that break
/// the rule.
const LATE: Duration = Duration::from_millis(500);
const MISSING: usize = 8;
/// The disruption.
const TROUBLE_AT: Duration = Duration::from_secs(5);
const TROUBLE_TIME: Duration = Duration::from_millis(5500);
/// Pause between two bytes of an answer without an end.
const DRIP_PAUSE: Duration = Duration::from_millis(50);
/// Events of a sound stream, and the pause between them: three seconds in all.
const EVENTS: u64 = 30;
const EVENT_PAUSE: Duration = Duration::from_millis(100);

pub fn run(case: &Case) -> Verdict {
    let site = Site::new(case.record.clone(), 2);
    watch(&site, &case.record, Duration::from_secs(100));
    let (arrivals, sent) = (Arrivals::default(), AllSent::default());
    let begin = Instant::now() + Duration::from_secs(3);
    let trouble = case.trouble;
    let mut workers = Vec::new();
    for index in 0..WORKERS {
        // Half of the workers of the service.
        let is_bad = trouble && index % 2 == 0;
        let worker = Worker::start(
            &format!("i-{index}"),
            "127.0.0.1:0",
            &arrivals,
            move |worker, request, stream| {
                let since = Instant::now().saturating_duration_since(begin);
                let is_now = since >= TROUBLE_AT && since < TROUBLE_AT + TROUBLE_TIME;
                let seal = format!("seal.{}", worker.id);
                let common = [
                    ("request-id", request.head.get("request-id")),
                    ("response-seal", seal.as_str()),
                    ("transfer-encoding", "chunked"),
                ];
                let mut stream = stream;
                if is_bad && is_now {
                    let entry = worker.arrived(request, "failed with 500, body without end");
                    let mut bytes = head(500, &common);
                    bytes.extend_from_slice(b"\r\n");
                    stream.write_all(&bytes)?;
                    let began = Instant::now();
                    let error = loop {
                        if let Err(error) = chunk(stream, b"x") {
                            break error;
                        }
                        sleep(DRIP_PAUSE);
                    };
                    let took = began.elapsed().as_millis();
                    worker.set_outcome(
                        entry,
                        &format!(
                            "failed with 500, body without end; the caller closed after {took} ms"
                        ),
                    );
                    return Err(error);
                }
                let entry = worker.arrived(request, "runs");
                let mut bytes = head(200, &common);
                bytes.extend_from_slice(b"content-type: text/event-stream\r\n\r\n");
                stream.write_all(&bytes)?;
                let last: u64 = request.head.get("last-event-id").parse().unwrap_or(0);
                for number in last + 1..=EVENTS {
                    sleep(EVENT_PAUSE);
                    let event = format!("id: {number}\ndata: part {number}\n\n");
                    chunk(stream, event.as_bytes())?;
                }
                stream.write_all(b"0\r\n\r\n")?;
                worker.set_outcome(entry, "ran, whole stream");
                Ok(true)
            },
        );
        let Ok(worker) = worker else {
            return Verdict::CannotRun;
        };
        site.list(&ListedWorker {
            id: &worker.id,
            service: "models",
            address: worker.address,
            version: "v1",
            slots: 64,
            state: "ready",
            born: unix_ms(),
        });
        workers.push(worker);
    }
    let route = r#"{"name":"answer","host":"shop.example","prefix":"/answer/","routeType":"streaming",
"timeoutMs":5000,"targetLatencyMs":1000,"gapAimMs":1000,"priority":1,"service":"models","attempts":3,
"streamResume":true,"sessionAffinity":true,"anonymous":false}"#;
    let service = r#"{"name":"models","maxConnections":360,"coldStartS":0,"coldPerS":0,"engine":{"slots":64,
"kvCapacityTokens":357302,"stride":7,"models":[{"name":"m1","cost":0.1}]}}"#;
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
        let subject = format!("question-{number}");
        let headers =
            format!("Model: m1\r\nToken-Count: 100,200\r\nPrompt-Prefix: {number:x}:100\r\n");
        let out = Outgoing {
            method: "POST",
            path: "/answer/one",
            headers: &headers,
            body: &subject,
            deadline: DEADLINE,
            patience: PATIENCE,
            subject: &subject,
        };
        attempt(&shared, &all, &out);
    });
    let _ = load.join();
    sleep(PATIENCE + Duration::from_millis(500));
    let sent = sent.lock().map(|all| all.clone()).unwrap_or_default();
    let arrivals = arrivals.lock().map(|all| all.clone()).unwrap_or_default();
    write_down(&site, &sent, &arrivals);
    site.keep_logs();
    let took: Vec<_> = sent.iter().map(|sent| sent.done - sent.at).collect();
    let unanswered = took.iter().filter(|took| **took > TIMEOUT).count();
    let missing = took.iter().filter(|took| **took > TIMEOUT + LATE).count();
    let served = sent.iter().filter(|sent| sent.got.status() == 200).count();
    case.record.say(&format!(
        "{} requests, {served} served; {unanswered} unanswered at the route's timeout, {missing} of them also half a second later",
        sent.len()
    ));
    if sent.len() < 100 || served < sent.len() / 4 {
        return Verdict::CannotRun;
    }
    match missing >= MISSING && missing * 2 > unanswered {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

//! A planned stop of a machine while callers read long answers.

use crate::http::{Got, Reader};
use crate::site::{Callers, ListedWorker, Site, config, unix_ms, watch};
use crate::worker::{Arrivals, Worker};
use crate::{AllSent, Case, Sent, Verdict, drive, write_down};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

const WORKERS: usize = 4;
/// Requests a second, and the time that a worker works on one.
const RATE: f64 = 2.5;
const WORK: Duration = Duration::from_millis(200);
const LENGTH: Duration = Duration::from_secs(32);
/// Bytes of an answer, and how a caller reads it: 1.6 MB a second, five seconds in all.
const ANSWER_BYTES: usize = 8 << 20;
const READ_BYTES: usize = 64 << 10;
const READ_PAUSE: Duration = Duration::from_millis(40);
const DEADLINE: Duration = Duration::from_secs(15);
/// The planned stops: when, after the start of traffic, each machine in turn gets SIGTERM, in seconds.
const STOP_AT: [u64; 2] = [8, 20];
/// The platform's grace period.
const GRACE: Duration = Duration::from_secs(8);
/// Time after the grace period until which the rule holds.
const AFTER: Duration = Duration::from_secs(1);

/// Sends a request over a new connection and reads the answer at a caller's pace.
fn call_slowly(address: SocketAddr, text: &[u8], until: Instant) -> Got {
    let read = || -> io::Result<Got> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        (&stream).write_all(text)?;
        let mut reader = Reader::new(&stream);
        reader.until = Some(until);
        let Some(head) = reader.head()? else {
            return Ok(Got::Broken("closed".to_owned()));
        };
        let mut body = reader.rest();
        let length: usize = head.get("content-length").parse().unwrap_or(0);
        let mut bytes = vec![0; READ_BYTES];
        while body.len() < length {
            if Instant::now() >= until {
                return Ok(Got::Nothing);
            }
            let size = (&stream).read(&mut bytes)?;
            if size == 0 {
                let got = body.len();
                return Ok(Got::Broken(format!("ended after {got} of {length} bytes")));
            }
            body.extend_from_slice(&bytes[..size]);
            sleep(READ_PAUSE.mul_f64(size as f64 / READ_BYTES as f64));
        }
        Ok(Got::Answer(head, Vec::new()))
    };
    read().unwrap_or_else(|error| match error.kind() {
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => Got::Nothing,
        _ => Got::Broken(error.to_string()),
    })
}

pub fn run(case: &Case) -> Verdict {
    let site = Site::new(case.record.clone(), 2);
    watch(&site, &case.record, Duration::from_secs(100));
    let (arrivals, sent) = (Arrivals::default(), AllSent::default());
    let mut workers = Vec::new();
    for index in 0..WORKERS {
        let worker = Worker::start(
            &format!("i-{index}"),
            "127.0.0.1:0",
            &arrivals,
            move |worker, request, stream| {
                let entry = worker.arrived(request, "runs");
                sleep(WORK);
                let kept = worker.reply(request, stream, 200, &"r".repeat(ANSWER_BYTES));
                let outcome = match kept {
                    Ok(_) => "ran, the whole answer was written",
                    Err(_) => "ran, the answer was not taken",
                };
                worker.set_outcome(entry, outcome);
                kept
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
            slots: 6,
            state: "ready",
            born: unix_ms(),
        });
        workers.push(worker);
    }
    let route = r#"{"name":"report","host":"shop.example","prefix":"/report/","routeType":"non_idempotent",
"timeoutMs":15000,"targetLatencyMs":3000,"priority":2,"service":"reports","attempts":1,"anonymous":false}"#;
    let service = r#"{"name":"reports","maxConnections":96,"coldStartS":0,"coldPerS":0}"#;
    site.store
        .put("op", "config", Some(&config(1, route, service)));
    if !site.start() {
        return Verdict::CannotRun;
    }
    let callers = Callers::new(&site);
    callers.keep_resolving();
    sleep(Duration::from_millis(300));
    let (shared, all) = (callers.clone(), sent.clone());
    let start = Instant::now();
    let load = drive(RATE, LENGTH, move |number| {
        let Some(node) = shared.address() else {
            return;
        };
        let (id, subject) = (shared.id(), format!("report-{number}"));
        let text = format!(
            "POST /report/one HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\nKey: key-1\r\nContent-Length: {}\r\n\r\n{subject}",
            DEADLINE.as_millis(),
            subject.len()
        );
        let at = Instant::now();
        let got = call_slowly(node, text.as_bytes(), at + DEADLINE);
        if matches!(got, Got::Broken(_)) {
            shared.mark_failed(node);
        }
        let sent = Sent {
            id,
            at,
            node,
            got,
            done: Instant::now(),
            subject,
        };
        if let Ok(mut all) = all.lock() {
            all.push(sent);
        }
    });
    let mut stops = Vec::new();
    for (node, at) in site.nodes.iter().zip(STOP_AT) {
        let at = start + Duration::from_secs(at);
        sleep(at.saturating_duration_since(Instant::now()));
        if !case.trouble {
            continue;
        }
        stops.push((node.frontend, Instant::now()));
        case.record
            .line(&format!("platform: {} gets SIGTERM", node.name));
        node.signal("TERM");
        if let Some(after) = node.wait(GRACE) {
            let (name, after) = (&node.name, after.as_millis());
            case.record
                .say(&format!("{name} ended by itself {after} ms after SIGTERM"));
        }
        node.kill();
        sleep(Duration::from_secs(1));
        if node.spawn().is_ok() {
            case.record
                .line(&format!("platform: {} is started again", node.name));
        }
    }
    let _ = load.join();
    sleep(DEADLINE);
    let sent = sent.lock().map(|all| all.clone()).unwrap_or_default();
    let arrivals = arrivals.lock().map(|all| all.clone()).unwrap_or_default();
    write_down(&site, &sent, &arrivals);
    site.keep_logs();
    let whole = sent.iter().filter(|sent| sent.got.status() == 200).count();
    let ran = |sent: &Sent| arrivals.iter().any(|arrival| arrival.request_id == sent.id);
    let around_stop = |sent: &Sent| {
        stops.iter().any(|(node, term)| {
            sent.node == *node && sent.done >= *term && sent.done <= *term + GRACE + AFTER
        })
    };
    let cut = sent.iter().filter(|sent| {
        around_stop(sent)
            && matches!(sent.got, Got::Broken(_))
            && sent.done - sent.at < DEADLINE
            && ran(sent)
    });
    let cut = cut.count();
    case.record.say(&format!(
        "{} requests, {whole} answered whole; {cut} taken by a machine that was being stopped ran, and their connections ended without the whole answer",
        sent.len()
    ));
    match (whole * 2 < sent.len() || sent.len() < 20, cut) {
        (true, _) => Verdict::CannotRun,
        (false, 0) => Verdict::Held,
        (false, _) => Verdict::Broken,
    }
}

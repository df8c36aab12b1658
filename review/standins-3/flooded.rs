//! Some workers answer with bytes without end while clients read slowly; a node has to stay within its memory.

use crate::http::{request, Connection, Message};
use crate::site::{start_nodes, Folder, Node, Record};
use crate::store::Store;
use crate::worker::{Runs, Script, Worker};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Memory of a process, from the settings; a process that exceeds it is killed.
const MEMORY_MB: f64 = 110.0;
/// Pause before the platform starts a process again.
const RESTART: Duration = Duration::from_secs(1);
/// Bytes a second on the link of a worker (`linkSpeedMbps` 1000).
const LINK: f64 = 125e6;
/// Bytes that a client of a stream reads at once, and its pause after them: 2.6 Mbit/s.
const READ_BYTES: usize = 32 << 10;
const READ_PAUSE: Duration = Duration::from_millis(100);
/// Streams a second at each node, and the share of the workers that are in trouble.
const STREAMS_PER_S: u64 = 16;
const WORKERS: usize = 6;
const TROUBLED: usize = 2;
/// Clients of each node that send plain requests over kept connections.
const PLAIN_CLIENTS: usize = 8;
const CALM: Duration = Duration::from_secs(5);
const TROUBLE: Duration = Duration::from_secs(45);

/// A plain request on a kept connection, and what became of it.
struct Sent {
    id: String,
    node: usize,
    /// Requests that the connection had carried before.
    before: u32,
    at: Instant,
    outcome: Result<u16, String>,
    /// Bytes of an answer that had arrived.
    begun: bool,
}

fn config() -> String {
    let service = |name: &str, connections: u32, engine: &str| {
        format!(r#"{{"name":"{name}","healthPath":"/health","maxConnections":{connections},"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0{engine}}}"#)
    };
    let route = |name: &str, rest: &str| {
        format!(r#"{{"name":"r-{name}","host":"shop.example","prefix":"/{name}/","anonymous":false,{rest}}}"#)
    };
    let engine = r#","engine":{"slots":64,"kvCapacityTokens":357302,"kvTokenBytes":18432,"linkSpeedMbps":550000.0,"stride":7,"models":[{"name":"m-0","cost":0.017}]}"#;
    format!(
        r#"{{"version":3,"routes":[{},{}],"services":[{},{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"t-one","apiKeys":["key-one"],"priority":1}}]}}"#,
        route("draft", r#""routeType":"streaming","timeoutMs":20000,"targetLatencyMs":4000,"priority":0,"service":"drafting-desk","attempts":3,"sessionAffinity":true,"streamResume":true,"gapAimMs":2500"#),
        route("book", r#""routeType":"non_idempotent","timeoutMs":3000,"targetLatencyMs":300,"priority":2,"service":"reservations","attempts":2"#),
        service("drafting-desk", 360, engine),
        service("reservations", 96, ""),
    )
}

/// Limits what a worker sends to the speed of its link.
#[derive(Default)]
struct Link(Mutex<Option<Instant>>);

impl Link {
    fn pass(&self, bytes: usize) {
        let at = {
            let mut next = self.0.lock().unwrap();
            let at = next.unwrap_or_else(Instant::now).max(Instant::now());
            *next = Some(at + Duration::from_secs_f64(bytes as f64 / LINK));
            at
        };
        thread::sleep(at.saturating_duration_since(Instant::now()));
    }
}

/// A stream of ten events, or bytes without end once the worker is in trouble.
fn stream(trouble: Arc<AtomicBool>, in_trouble: bool) -> Script {
    let link = Link::default();
    let mut block = "these bytes are no answer ".repeat(4600).into_bytes();
    block.extend_from_slice(b"\n\n");
    Arc::new(move |connection: &mut Connection, request: &Message, id: &str| {
        let head = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {}\r\nresponse-seal: seal.{id}\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
            request.header("request-id")
        );
        connection.write(head.as_bytes())?;
        if in_trouble && trouble.load(Ordering::Relaxed) {
            let size = format!("{:x}\r\n", block.len());
            loop {
                link.pass(block.len());
                connection.write(size.as_bytes())?;
                connection.write(&block)?;
                connection.write(b"\r\n")?;
            }
        }
        for number in 1..=10 {
            let event = format!("id: {number}\ndata: seven tokens of an answer\n\n");
            connection.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(Duration::from_millis(60));
        }
        connection.write(b"0\r\n\r\n")?;
        Ok(true)
    })
}

/// A plain answer after 40 to 200 ms.
fn plain() -> Script {
    let count = AtomicU64::new(0);
    Arc::new(move |connection: &mut Connection, request: &Message, id: &str| {
        let number = count.fetch_add(1, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(40 + number * 37 % 160));
        let seal = format!("seal.{id}");
        let headers = [("request-id", request.header("request-id")), ("response-seal", seal.as_str())];
        connection.answer(200, &headers, b"confirmed")?;
        Ok(true)
    })
}

/// Runs the case; returns whether the rule held.
pub fn run(folder: &str, trouble: bool) -> io::Result<bool> {
    let mut record = Record::create(folder)?;
    let temporary = Folder::create()?;
    let store = Store::start()?;
    let (stream_runs, plain_runs): (Runs, Runs) = Default::default();
    let begun = Arc::new(AtomicBool::new(false));
    for index in 0..WORKERS {
        let script = stream(Arc::clone(&begun), index < TROUBLED);
        Worker::start_with(&store, &stream_runs, &format!("i-draft-{index}"), "drafting-desk", 64, script)?;
    }
    for index in 0..4 {
        Worker::start_with(&store, &plain_runs, &format!("i-book-{index}"), "reservations", 6, plain())?;
    }
    store.put("op", "config", Some(&config()));
    let mut nodes = start_nodes(&temporary, &store, 2)?;
    for node in &nodes {
        node.until_ready()?;
    }
    record.note(&format!("2 nodes are ready, {WORKERS} model workers and 4 plain workers are listed; trouble: {trouble}"));

    let ended = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let streams = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for (index, node) in nodes.iter().enumerate() {
        let address = node.frontend;
        for client in 0..PLAIN_CLIENTS {
            let (sent, ended) = (Arc::clone(&sent), Arc::clone(&ended));
            clients.push(thread::spawn(move || book(address, index, client, &sent, &ended)));
        }
        let (ended, streams) = (Arc::clone(&ended), Arc::clone(&streams));
        clients.push(thread::spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                let (ended, number) = (Arc::clone(&ended), streams.fetch_add(1, Ordering::Relaxed));
                thread::spawn(move || drop(draft(address, number, &ended)));
                thread::sleep(Duration::from_millis(1000 / STREAMS_PER_S));
            }
        }));
    }
    let mut ends: Vec<Vec<Instant>> = vec![Vec::new(); nodes.len()];
    let mut most = vec![0f64; nodes.len()];
    watch(&mut record, &mut nodes, &mut ends, &mut most, CALM)?;
    begun.store(trouble, Ordering::Relaxed);
    record.note(&format!("{}: {TROUBLED} of {WORKERS} model workers answer with bytes without end", if trouble { "trouble" } else { "no trouble" }));
    watch(&mut record, &mut nodes, &mut ends, &mut most, TROUBLE)?;
    ended.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    record.note(&format!("{} streams were asked for; most memory of the nodes: {most:.1?} MB", streams.load(Ordering::Relaxed)));

    // The check, from what clients and workers saw.
    let mut ran: BTreeMap<String, String> = BTreeMap::new();
    for run in plain_runs.lock().unwrap().iter() {
        ran.insert(run.request.header("request-id").to_owned(), run.worker.clone());
    }
    let mut lost = vec![0; nodes.len()];
    let sent = sent.lock().unwrap();
    for request in sent.iter() {
        let worker = ran.get(&request.id).map_or("-", String::as_str);
        let outcome = match &request.outcome {
            Ok(status) => format!("status {status}"),
            Err(error) => format!("no answer: {error}"),
        };
        record.line(&format!(
            "{:>8.3} s  {} to node {}, request {} of its connection, run by {worker}: {outcome}",
            record.millis(request.at) as f64 / 1e3, request.id, request.node + 1, request.before + 1
        ));
        let is_lost = request.outcome.is_err() && !request.begun && request.before > 0 && worker != "-";
        lost[request.node] += usize::from(is_lost);
    }
    let counts: Vec<_> = ends.iter().map(Vec::len).collect();
    record.line(&format!("processes that ended for memory over the limit, by node: {counts:?}"));
    record.line(&format!(
        "of {} plain requests, passed on from a kept connection to a sound worker and closed without an answer, by node: {lost:?}",
        sent.len()
    ));
    if sent.len() < 500 {
        return Err(io::Error::other("too few requests"));
    }
    let held = lost.iter().all(|lost| *lost <= 3);
    record.line(if held { "LOST held" } else { "LOST broken" });
    Ok(held)
}

/// Does what the platform does for a while: it kills a process that exceeds its memory, and starts it again.
fn watch(record: &mut Record, nodes: &mut [Node], ends: &mut [Vec<Instant>], most: &mut [f64], time: Duration) -> io::Result<()> {
    let until = Instant::now() + time;
    let mut down: Vec<Option<Instant>> = vec![None; nodes.len()];
    while Instant::now() < until || down.iter().any(Option::is_some) {
        thread::sleep(Duration::from_millis(50));
        for (index, node) in nodes.iter_mut().enumerate() {
            if let Some(at) = down[index] {
                if at.elapsed() >= RESTART {
                    node.restart()?;
                    down[index] = None;
                    record.note(&format!("{} is started again", node.name));
                }
                continue;
            }
            if let Some(status) = node.child.try_wait()? {
                return Err(io::Error::other(format!("{} has ended: {status}", node.name)));
            }
            let memory = node.memory_mb();
            most[index] = most[index].max(memory);
            if memory > MEMORY_MB {
                record.note(&format!("{} has {memory:.1} MB of {MEMORY_MB} MB, it is killed", node.name));
                node.child.kill()?;
                ends[index].push(Instant::now());
                down[index] = Some(Instant::now());
            }
        }
    }
    Ok(())
}

/// A client of plain requests, one after the other over a kept connection.
fn book(address: SocketAddr, node: usize, client: usize, sent: &Mutex<Vec<Sent>>, ended: &AtomicBool) {
    let mut connection: Option<(Connection, u32)> = None;
    let mut number = 0;
    while !ended.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(20));
        let (mut open, before) = match connection.take() {
            Some(open) => open,
            None => match Connection::open(address, Duration::from_secs(1)) {
                Ok(open) => (open, 0),
                Err(_) => {
                    thread::sleep(Duration::from_millis(200));
                    continue;
                }
            },
        };
        number += 1;
        let id = format!("{:04x}{:04x}{number:08x}", node + 1, client);
        let headers = [("host", "shop.example"), ("request-id", id.as_str()), ("deadline-ms", "3000"), ("key", "key-one")];
        let bytes = request("POST", &format!("/book/{number}"), &headers, b"a booking");
        let at = Instant::now();
        let mut begun = false;
        let outcome = (|| -> io::Result<Message> {
            open.stream.set_read_timeout(Some(Duration::from_secs(3)))?;
            open.write(&bytes)?;
            let mut head = open.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
            begun = true;
            open.body(&mut head, true)?;
            Ok(head)
        })();
        let closes = outcome.as_ref().map_or(true, |answer| answer.header("connection") == "close");
        let outcome = outcome.map(|answer| answer.status()).map_err(|error| error.to_string());
        sent.lock().unwrap().push(Sent { id, node, before, at, outcome, begun });
        if !closes {
            connection = Some((open, before + 1));
        }
    }
}

/// A client of one stream that reads slowly.
fn draft(address: SocketAddr, number: u64, ended: &AtomicBool) -> io::Result<()> {
    let id = format!("dddd{number:012x}");
    let tokens = "6000,385";
    let parts = format!("5c1e07a2:5382,{:x}:618", number + 1);
    let headers = [
        ("host", "shop.example"), ("request-id", id.as_str()), ("deadline-ms", "20000"), ("key", "key-one"), ("model", "m-0"),
        ("token-count", tokens), ("prompt-prefix", parts.as_str()), ("connection", "close"),
    ];
    let mut connection = Connection::open(address, Duration::from_secs(1))?;
    connection.stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    connection.write(&request("POST", &format!("/draft/{number}"), &headers, b"a prompt"))?;
    let until = Instant::now() + Duration::from_secs(20);
    let mut buffer = vec![0; READ_BYTES];
    while Instant::now() < until && !ended.load(Ordering::Relaxed) {
        let mut got = 0;
        while got < READ_BYTES {
            match connection.read(&mut buffer)? {
                0 => return Ok(()),
                bytes => got += bytes,
            }
        }
        thread::sleep(READ_PAUSE);
    }
    Ok(())
}

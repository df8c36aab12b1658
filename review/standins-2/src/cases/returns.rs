//! A part of prompts that crashes servers, in two waves of requests with more than a minute between them.

use crate::Play;
use crate::site::{
    self, Ask, Behaviour, Node, Record, Seen, Services, Worker, config, model_headers,
};
use crate::store::Store;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CONTACT_MS: u64 = 3000;
/// Time until a crashed server is back.
const BACK: Duration = Duration::from_millis(2500);
const SERVERS: usize = 6;
const NODES: u8 = 2;
const PLAYED_MS: u64 = 100_000;
/// When the requests with the part that crashes come.
const WAVES_MS: [u64; 10] = [
    3000, 4000, 5000, 6000, 7000, 8000, 93_000, 94_000, 95_000, 96_000,
];
const DEADLINE_MS: u64 = 5000;
/// Requests that may reach servers later than `contactMs` after the fifth crash, as the rule says.
const MAX_LATE: usize = 3;

pub fn play(play: &Play) -> io::Result<bool> {
    let record = Record::new(&play.folder)?;
    let store = Store::start()?;
    let services = Services::new(&store);
    let (trouble, all) = (play.trouble, Arc::clone(&services));
    let arrivals: Arc<Mutex<Vec<u64>>> = Arc::default();
    let noted = Arc::clone(&arrivals);
    let behaviour: Behaviour = Arc::new(move |connection, request, worker| {
        worker.run(request);
        let parts = request.header("prompt-prefix");
        if trouble && parts.split(',').any(|part| part.starts_with("dead:")) {
            noted.lock().unwrap().push(worker.record.ms());
            worker.crash(BACK, &all);
            return Ok(false);
        }
        site::stream_events(connection, request, worker, 5, Duration::from_millis(20))
    });
    for index in 0..SERVERS {
        let worker = Worker::start(&format!("i-model-{index}"), &record, Arc::clone(&behaviour))?;
        services.add(&worker, "models", 64);
    }
    store.put("op", "config", Some(&config(DEADLINE_MS)));
    let mut nodes = Vec::new();
    for index in 0..NODES {
        nodes.push(Node::start(
            &play.program,
            &play.scratch,
            index,
            110,
            &store,
        )?);
    }
    for node in &nodes {
        node.until_ready()?;
    }
    let addresses: Vec<_> = nodes.iter().map(|node| node.address).collect();
    let begun = Instant::now();
    let mut callers = Vec::new();
    for now in (0..PLAYED_MS).step_by(100) {
        let due = begun + Duration::from_millis(now);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if now % 200 == 0 {
            let parts = format!("bb01:100,cc01:80,{now:x}0:50");
            callers.push((
                true,
                call(&addresses, &record, format!("sound-{now}"), parts),
            ));
        }
        if WAVES_MS.contains(&now) {
            let parts = format!("bb01:100,dead:80,{now:x}0:50");
            callers.push((
                false,
                call(&addresses, &record, format!("poison-{now}"), parts),
            ));
        }
    }
    let (mut sound, mut served) = (0, 0);
    for (is_sound, caller) in callers {
        let seen = caller.join().unwrap_or_default();
        sound += usize::from(is_sound);
        served += usize::from(is_sound && seen.iter().any(|seen| seen.status == 200));
    }
    let arrivals = arrivals.lock().unwrap().clone();
    let late = arrivals.get(4).map_or(0, |fifth| {
        let late = arrivals.iter().filter(|at| **at > fifth + CONTACT_MS);
        late.count()
    });
    record.say(&format!(
        "requests with the part reached servers, and crashed them, at {arrivals:?} ms: {late} later than {CONTACT_MS} ms \
         after the fifth; {served} of {sound} sound requests served"
    ));
    Ok(late <= MAX_LATE)
}

/// Sends a request to a node, and once more to another one if it fails.
fn call(
    nodes: &[SocketAddr],
    record: &Record,
    id: String,
    parts: String,
) -> thread::JoinHandle<Vec<Seen>> {
    let (nodes, record) = (nodes.to_vec(), record.clone());
    thread::spawn(move || {
        let begun = Instant::now();
        let first = record.ms() as usize / 100;
        let mut all = Vec::new();
        for attempt in 0..2 {
            let left = DEADLINE_MS.saturating_sub(begun.elapsed().as_millis() as u64);
            let ask = Ask {
                method: "POST",
                path: "/stream/a",
                id: &format!("{id}.{attempt}"),
                headers: model_headers(&parts, "250,40"),
                body: format!("prompt of {id}"),
                deadline_ms: left,
                rate: 0,
            };
            let seen = ask.send(nodes[(first + attempt) % nodes.len()], &record);
            let (status, after) = (seen.status, seen.retry_after.parse().unwrap_or(0.0));
            all.push(seen);
            if status == 200 || left == 0 {
                break;
            }
            let wait = Duration::from_secs_f64(after).min(Duration::from_millis(left / 3));
            thread::sleep(wait);
        }
        all
    })
}

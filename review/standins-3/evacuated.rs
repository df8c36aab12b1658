//! The store comes back from an older copy; an evacuation after that has to be obeyed by a node that was restarted before.

use crate::http::{call, request, Outcome};
use crate::site::{start_nodes, Folder, Record};
use crate::store::Store;
use crate::worker::{plain, Runs, Worker};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Bounds of the site, from the settings.
const CONTACT: Duration = Duration::from_millis(3000);
const EVACUATION: Duration = Duration::from_millis(5000);
/// Age of the copy, and time for which the store is away: "some seconds" and "a moment".
const COPY_AGE: Duration = Duration::from_secs(7);
const AWAY: Duration = Duration::from_millis(800);
/// Time for which the zone is evacuated: `for_s` of the site file.
const EVACUATED: Duration = Duration::from_secs(8);

/// A request that a client sent, and what became of it.
struct Sent {
    id: String,
    node: usize,
    at: Instant,
    status: u16,
    note: String,
}

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-book","host":"shop.example","prefix":"/book/","routeType":"non_idempotent","timeoutMs":3000,"targetLatencyMs":300,"priority":2,"service":"desk","attempts":2,"anonymous":false}],"services":[{"name":"desk","healthPath":"/health","maxConnections":96,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"t-one","apiKeys":["key-one"],"priority":1}]}"#;

/// Runs the case; returns whether the rule held.
pub fn run(folder: &str, trouble: bool) -> io::Result<bool> {
    let mut record = Record::create(folder)?;
    let temporary = Folder::create()?;
    let store = Store::start()?;
    let runs: Runs = Arc::default();
    let mut workers = Vec::new();
    for index in 0..10 {
        let zone = if index < 5 { "z-a" } else { "z-b" };
        workers.push(Worker::start_in(zone, &store, &runs, &format!("i-{zone}-{index}"), "desk", plain(Duration::from_millis(30)))?);
    }
    store.put("op", "config", Some(CONFIG));
    let mut nodes = start_nodes(&temporary, &store, 3)?;
    for node in &nodes {
        node.until_ready()?;
    }
    record.note(&format!("3 nodes are ready, 5 workers are listed in each of two zones; trouble: {trouble}"));

    // Clients: each sends a request every 30 ms after the answer to the one before, to one node.
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let ended = Arc::new(AtomicBool::new(false));
    let count = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for (index, node) in nodes.iter().enumerate() {
        let (sent, ended, count) = (Arc::clone(&sent), Arc::clone(&ended), Arc::clone(&count));
        let address = node.frontend;
        clients.push(thread::spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                let number = count.fetch_add(1, Ordering::Relaxed);
                sent.lock().unwrap().push(send(address, index, number));
                thread::sleep(Duration::from_millis(30));
            }
        }));
    }

    // The copy is taken; a while later one machine is stopped and started again, as planned work.
    thread::sleep(Duration::from_secs(4));
    let copy = store.copy();
    let taken = Instant::now();
    record.note(&format!("a copy of the store is taken at ver {}", store.version()));
    thread::sleep(Duration::from_millis(3300));
    nodes[0].signal("TERM")?;
    record.note(&format!("{} gets SIGTERM", nodes[0].name));
    nodes[0].child.wait()?;
    nodes[0].restart()?;
    nodes[0].until_ready()?;
    record.note(&format!("{} runs again and is ready, at ver {}", nodes[0].name, store.version()));
    thread::sleep(COPY_AGE.saturating_sub(taken.elapsed()));

    // The drill. What the operator and the workers wrote is in the copy.
    if trouble {
        record.note(&format!("the store goes away at ver {}", store.version()));
        store.leave();
        thread::sleep(AWAY);
        store.come_back(Some(&copy));
        record.note(&format!("the store is back from the copy, Store-Era 2, ver {}", store.version()));
    } else {
        thread::sleep(AWAY);
    }
    thread::sleep(CONTACT + Duration::from_millis(300));

    // The store has been stable for `contactMs`: a zone is evacuated.
    let version = store.put("op", "evacuate/z-a", Some("{}"));
    let acknowledged = Instant::now();
    record.note(&format!("the operator evacuates z-a, acknowledged at ver {version:?}"));
    thread::sleep(EVACUATED);
    let taken_back = Instant::now();
    store.put("op", "evacuate/z-a", None);
    record.note("the operator takes the evacuation back");
    ended.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }

    // The check, from what clients and workers saw.
    let owner: BTreeMap<String, usize> = sent.lock().unwrap().iter().map(|sent| (sent.id.clone(), sent.node)).collect();
    let sent = sent.lock().unwrap();
    for request in sent.iter() {
        record.line(&format!(
            "{:>8.3} s  {} to node {}: status {} {}",
            record.millis(request.at) as f64 / 1e3, request.id, request.node + 1, request.status, request.note
        ));
    }
    let (mut judged, mut late) = (0, 0);
    let mut by_node = [0; 3];
    for run in runs.lock().unwrap().iter() {
        let id = run.request.header("request-id");
        record.line(&format!("{:>8.3} s  {id} begins at {}", record.millis(run.at) as f64 / 1e3, run.worker));
        if run.at <= acknowledged + EVACUATION || run.at >= taken_back {
            continue;
        }
        judged += 1;
        if run.worker.contains("z-a") {
            late += 1;
            by_node[owner.get(id).copied().unwrap_or_default()] += 1;
        }
    }
    record.line(&format!(
        "of {judged} requests that reached workers later than evacuationMs after the acknowledgement and before it is taken back: {late} in the evacuated zone; by node {by_node:?}"
    ));
    drop(workers);
    if judged < 50 {
        return Err(io::Error::other("too few requests"));
    }
    let held = late == 0;
    record.line(if held { "EVAC held" } else { "EVAC broken" });
    Ok(held)
}

fn send(address: SocketAddr, node: usize, number: u64) -> Sent {
    let id = format!("{number:016x}");
    let headers = [("host", "shop.example"), ("request-id", &id), ("deadline-ms", "3000"), ("key", "key-one"), ("connection", "close")];
    let bytes = request("POST", &format!("/book/{number}"), &headers, b"a booking");
    let at = Instant::now();
    let outcome = call(address, &bytes, Duration::from_secs(3));
    let note = match &outcome {
        Outcome::Answer(_) => String::new(),
        Outcome::Lost(reason) => reason.clone(),
    };
    Sent { id, node, at, status: outcome.status(), note }
}

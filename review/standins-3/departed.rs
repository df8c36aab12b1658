//! A node that was a relay for a while is one no more; a node that it reported then is killed. The directory has to stop
//! naming it.

use crate::site::{start_nodes_with, Folder, Node, Record};
use crate::store::Store;
use crate::worker::{plain, Runs, Worker};
use std::collections::BTreeMap;
use std::io;
use std::thread;
use std::time::{Duration, Instant};

/// `contactMs`, and the time after it from which no answer may name a machine that is gone.
const CONTACT: Duration = Duration::from_millis(3000);
const NAMED: Duration = Duration::from_millis(3000);
const NODES: usize = 20;
/// Times that a machine is stopped and started again, after each of which one machine is killed for good.
const ROUNDS: usize = 3;
/// Time for which the machine is down, and the time from its return to the kill.
const DOWN: Duration = Duration::from_secs(3);
const CALM: Duration = Duration::from_secs(4);
/// Time for which the directory is asked after a kill.
const WATCH: Duration = Duration::from_millis(10_500);

/// Runs the case; returns whether the rule held.
pub fn run(folder: &str, trouble: bool) -> io::Result<bool> {
    let mut record = Record::create(folder)?;
    let temporary = Folder::create()?;
    let store = Store::start()?;
    let runs: Runs = Runs::default();
    let _workers = [
        Worker::start(&store, &runs, "i-desk-0", "desk", plain(Duration::from_millis(30)))?,
        Worker::start(&store, &runs, "i-desk-1", "desk", plain(Duration::from_millis(30)))?,
    ];
    let config = r#"{"version":3,"routes":[{"name":"r-book","host":"shop.example","prefix":"/book/","routeType":"non_idempotent","timeoutMs":3000,"targetLatencyMs":300,"priority":2,"service":"desk","attempts":2,"anonymous":true}],"services":[{"name":"desk","healthPath":"/health","maxConnections":96,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[]}"#;
    store.put("op", "config", Some(config));
    // The machines differ in size, as on the sheets of the grown sites: 0.12 to 0.5 cores.
    let shares: Vec<f64> = (0..NODES).map(|index| [0.5, 0.45, 0.4].get(index).copied().unwrap_or(0.25)).collect();
    let mut nodes = start_nodes_with(&temporary, &store, &shares)?;
    for node in &nodes {
        node.until_ready()?;
    }
    until_named(&nodes)?;
    record.note(&format!("{NODES} machines run, and each names all of them; trouble: {trouble}"));
    thread::sleep(CALM);

    // Machines that were killed, with their addresses and times.
    let mut gone: BTreeMap<String, (String, Instant)> = BTreeMap::new();
    let (mut asked, mut wrong) = (0, 0);
    let mut by_node: BTreeMap<String, usize> = BTreeMap::new();
    for _ in 0..ROUNDS {
        // Planned work: the largest machine is stopped and started again.
        if trouble {
            nodes[0].signal("TERM")?;
            record.note(&format!("{} gets SIGTERM", nodes[0].name));
            nodes[0].child.wait()?;
            record.note(&format!("{} has ended", nodes[0].name));
            thread::sleep(DOWN);
            nodes[0].restart()?;
            nodes[0].until_ready()?;
            until_named(&nodes)?;
            record.note(&format!("{} runs again, and all machines that run name each other", nodes[0].name));
        }
        thread::sleep(CALM);

        // One of the smallest machines is lost for good.
        if let Some(mut lost) = nodes.pop() {
            lost.child.kill()?;
            gone.insert(lost.frontend.to_string(), (lost.name.clone(), Instant::now()));
            record.note(&format!("{} is killed, for good", lost.name));
        }
        let until = Instant::now() + WATCH;
        while Instant::now() < until {
            for node in &nodes {
                let Some(names) = node.names() else {
                    continue;
                };
                asked += 1;
                let named: Vec<_> = names.iter().filter_map(|name| gone.get(name)).collect();
                let late = named.iter().filter(|(_, at)| at.elapsed() > CONTACT + NAMED).count();
                let is_wrong = late > 0 && names.len() > named.len();
                wrong += usize::from(is_wrong);
                if is_wrong {
                    *by_node.entry(node.name.clone()).or_default() += 1;
                }
                let named: Vec<_> = named.iter().map(|(name, at)| format!("{name}, killed {} ms before", at.elapsed().as_millis())).collect();
                record.note(&format!("{} names {} machines, of those that were killed {named:?}", node.name, names.len()));
            }
            thread::sleep(Duration::from_millis(500));
        }
    }
    record.line(&format!(
        "of {asked} answers of the directory, {wrong} name a machine that was killed over {} ms before, by node {by_node:?}",
        (CONTACT + NAMED).as_millis()
    ));
    if asked < 100 {
        return Err(io::Error::other("too few answers"));
    }
    let held = wrong <= 3;
    record.line(if held { "DRAIN held" } else { "DRAIN broken" });
    Ok(held)
}

/// Waits until each machine that runs names all that run.
fn until_named(nodes: &[Node]) -> io::Result<()> {
    let until = Instant::now() + Duration::from_secs(15);
    let all: Vec<String> = nodes.iter().map(|node| node.frontend.to_string()).collect();
    let names_all = |node: &Node| node.names().is_some_and(|names| all.iter().all(|address| names.contains(address)));
    while !nodes.iter().all(names_all) {
        if Instant::now() > until {
            return Err(io::Error::other("the directory doesn't name all machines that run"));
        }
        thread::sleep(Duration::from_millis(100));
    }
    Ok(())
}

//! Measures how long it takes until a bill is stored durably: in the table, or as copies at two
//! other nodes. Prints percentiles and asserts no latency.

use clients::Table;
use clients::table::{Condition, Item, Memory, Range, Write};
use contract::{NodeId, Owner};
use ledger::bill::{Bill, Charge, Meter};
use node::bill::{Bills, Context, Settings};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::time::sleep;
use wire::Frame;

const BILLS: usize = 300;
/// Interval between bills.
const INTERVAL: Duration = Duration::from_millis(1);
/// One-way latency of a link.
const LINK_LATENCY: Duration = Duration::from_micros(1500);
const TABLE_WRITE_LATENCY: Duration = Duration::from_millis(4);
const NODES: [&str; 3] = ["n1", "n2", "n3"];

/// In-memory table whose single writes take [`TABLE_WRITE_LATENCY`].
#[derive(Clone, Debug, Default)]
struct SlowTable(Memory);

impl Table for SlowTable {
    async fn get(&self, partition: &str, sort: &str) -> Result<Option<Item>, clients::Error> {
        self.0.get(partition, sort).await
    }

    async fn put(&self, item: Item, condition: Condition) -> Result<(), clients::Error> {
        sleep(TABLE_WRITE_LATENCY).await;
        self.0.put(item, condition).await
    }

    async fn delete(
        &self,
        partition: &str,
        sort: &str,
        condition: Condition,
    ) -> Result<(), clients::Error> {
        self.0.delete(partition, sort, condition).await
    }

    async fn list(
        &self,
        partition: &str,
        range: &Range,
        limit: usize,
    ) -> Result<Vec<Item>, clients::Error> {
        self.0.list(partition, range, limit).await
    }

    async fn transact(&self, writes: &[Write], token: &str) -> Result<(), clients::Error> {
        self.0.transact(writes, token).await
    }
}

/// Sender, recipient and frame.
type Message = (String, String, Frame);

/// Simulated links of one node.
struct Links {
    name: &'static str,
    peers: Vec<NodeId>,
    outbox: UnboundedSender<Message>,
}

impl Context for Links {
    fn nodes(&self) -> u32 {
        NODES.len() as u32
    }

    fn peers(&self) -> Vec<NodeId> {
        self.peers.clone()
    }

    fn send(&self, node: &str, frame: Frame) {
        let message = (self.name.to_owned(), node.to_owned(), frame);
        let _ = self.outbox.send(message);
    }
}

/// Runs three nodes, submits bills to the first one and returns the sorted latencies.
async fn measure(table: SlowTable, peers: &[&str]) -> Vec<Duration> {
    let (outbox, mut messages) = unbounded_channel::<Message>();
    let nodes: Vec<_> = NODES
        .iter()
        .map(|name| {
            let links = Arc::new(Links {
                name,
                peers: match *name {
                    "n1" => peers.iter().map(|peer| (*peer).to_owned()).collect(),
                    _ => Vec::new(),
                },
                outbox: outbox.clone(),
            });
            let bills = Bills::new(table.clone(), Owner::new(name, 1), Settings::default());
            (links, bills)
        })
        .collect();
    let mut tasks = Vec::new();
    for (links, bills) in nodes.clone() {
        tasks.push(tokio::spawn(async move { bills.run(&*links).await }));
    }
    let recipients = nodes.clone();
    tasks.push(tokio::spawn(async move {
        while let Some((from, to, frame)) = messages.recv().await {
            let Some((links, bills)) = recipients.iter().find(|(links, _)| links.name == to) else {
                continue;
            };
            let (links, bills) = (Arc::clone(links), Arc::clone(bills));
            tokio::spawn(async move {
                sleep(LINK_LATENCY).await;
                bills.incoming(&*links, &Owner::new(&from, 1), &frame);
            });
        }
    }));
    let latencies = Arc::new(Mutex::new(Vec::new()));
    let mut submissions = Vec::new();
    for number in 0..BILLS {
        let (bills, latencies) = (Arc::clone(&nodes[0].1), Arc::clone(&latencies));
        submissions.push(tokio::spawn(async move {
            let start = Instant::now();
            assert!(bills.enqueue_and_wait(bill(number)).await);
            latencies.lock().unwrap().push(start.elapsed());
        }));
        sleep(INTERVAL).await;
    }
    for submission in submissions {
        submission.await.unwrap();
    }
    tasks.iter().for_each(tokio::task::JoinHandle::abort);
    let mut latencies = std::mem::take(&mut *latencies.lock().unwrap());
    latencies.sort_unstable();
    latencies
}

fn bill(number: usize) -> Bill {
    let mut meter = Meter::new(&format!("r{number}"), "fraser");
    meter.add(Charge::default());
    meter.close(0).unwrap()
}

fn print(name: &str, latencies: &[Duration]) {
    let percentile = |percent: usize| latencies[(latencies.len() - 1) * percent / 100];
    println!(
        "{name:<28} p50 {:>8.2?}  p99 {:>8.2?}  max {:>8.2?}",
        percentile(50),
        percentile(99),
        percentile(100)
    );
}

macro_rules! cases {
    ($($name:ident: $table:expr, $peers:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let latencies = measure($table, &$peers).await;
            assert_eq!(latencies.len(), BILLS);
            print(stringify!($name), &latencies);
        }
    )*};
}

/// Returns a table that is unreachable throughout the test.
fn unreachable_table() -> SlowTable {
    let table = SlowTable::default();
    table.0.set_down(true);
    table
}

cases! {
    table_alone: SlowTable::default(), [];
    table_or_two_copies: SlowTable::default(), ["n2", "n3"];
    two_copies_in_an_outage: unreachable_table(), ["n2", "n3"];
}

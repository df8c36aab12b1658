//! What it costs to wait until a bill is safe. Prints figures; asserts no speed.

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
const BETWEEN: Duration = Duration::from_millis(1);
const LINK_ONE_WAY: Duration = Duration::from_micros(1500);
const TABLE_WRITE: Duration = Duration::from_millis(4);
const NODES: [&str; 3] = ["n1", "n2", "n3"];

/// A table whose writes take a while.
#[derive(Clone, Debug, Default)]
struct Slow(Memory);

impl Table for Slow {
    async fn get(&self, partition: &str, sort: &str) -> Result<Option<Item>, clients::Error> {
        self.0.get(partition, sort).await
    }

    async fn put(&self, item: Item, condition: Condition) -> Result<(), clients::Error> {
        sleep(TABLE_WRITE).await;
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

type Post = (String, String, Frame);

/// One node's side of the links.
struct Links {
    name: &'static str,
    peers: Vec<NodeId>,
    post: UnboundedSender<Post>,
}

impl Context for Links {
    fn nodes(&self) -> u32 {
        NODES.len() as u32
    }

    fn peers(&self) -> Vec<NodeId> {
        self.peers.clone()
    }

    fn send(&self, node: &str, frame: Frame) {
        let post = (self.name.to_owned(), node.to_owned(), frame);
        let _ = self.post.send(post);
    }
}

/// Three nodes whose first one bills; gives the waits in order.
async fn waits(table: Slow, peers: &[&str]) -> Vec<Duration> {
    let (post, mut posted) = unbounded_channel::<Post>();
    let nodes: Vec<_> = NODES
        .iter()
        .map(|name| {
            let links = Arc::new(Links {
                name,
                peers: match *name {
                    "n1" => peers.iter().map(|peer| (*peer).to_owned()).collect(),
                    _ => Vec::new(),
                },
                post: post.clone(),
            });
            let bills = Bills::new(table.clone(), Owner::new(name, 1), Settings::default());
            (links, bills)
        })
        .collect();
    let mut tasks = Vec::new();
    for (links, bills) in nodes.clone() {
        tasks.push(tokio::spawn(async move { bills.run(&*links).await }));
    }
    let carried = nodes.clone();
    tasks.push(tokio::spawn(async move {
        while let Some((from, to, frame)) = posted.recv().await {
            let Some((links, bills)) = carried.iter().find(|(links, _)| links.name == to) else {
                continue;
            };
            let (links, bills) = (Arc::clone(links), Arc::clone(bills));
            tokio::spawn(async move {
                sleep(LINK_ONE_WAY).await;
                bills.incoming(&*links, &Owner::new(&from, 1), &frame);
            });
        }
    }));
    let measured = Arc::new(Mutex::new(Vec::new()));
    let mut adds = Vec::new();
    for number in 0..BILLS {
        let (bills, measured) = (Arc::clone(&nodes[0].1), Arc::clone(&measured));
        adds.push(tokio::spawn(async move {
            let begun = Instant::now();
            assert!(bills.enqueue_and_wait(bill(number)).await);
            measured.lock().unwrap().push(begun.elapsed());
        }));
        sleep(BETWEEN).await;
    }
    for add in adds {
        add.await.unwrap();
    }
    tasks.iter().for_each(tokio::task::JoinHandle::abort);
    let mut waits = std::mem::take(&mut *measured.lock().unwrap());
    waits.sort_unstable();
    waits
}

fn bill(number: usize) -> Bill {
    let mut meter = Meter::new(&format!("r{number}"), "fraser");
    meter.add(Charge::default());
    meter.close(0).unwrap()
}

fn print(name: &str, waits: &[Duration]) {
    let at = |share: usize| waits[(waits.len() - 1) * share / 100];
    println!(
        "{name:<28} p50 {:>8.2?}  p99 {:>8.2?}  max {:>8.2?}",
        at(50),
        at(99),
        at(100)
    );
}

macro_rules! cases {
    ($($name:ident: $table:expr, $peers:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let waits = waits($table, &$peers).await;
            assert_eq!(waits.len(), BILLS);
            print(stringify!($name), &waits);
        }
    )*};
}

/// A table that is out of reach for as long as the test runs.
fn down() -> Slow {
    let table = Slow::default();
    table.0.set_down(true);
    table
}

cases! {
    table_alone: Slow::default(), [];
    table_or_two_copies: Slow::default(), ["n2", "n3"];
    two_copies_in_an_outage: down(), ["n2", "n3"];
}

//! Several nodes in one process, linked over loopback, with an in-memory table.

use clients::table::Memory;
use clients::vms;
use contract::Member;
use node::link::{self, Hub};
use node::sync::{self, Replica};
use rand::Rng;
use settings::{Keyring, Secret};
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use wire::{Entry, Fetch, Frame, Suspect};

const HORIZON: Duration = Duration::from_millis(1500);
/// Time within which a condition has to hold.
const TIMEOUT: Duration = Duration::from_secs(10);

struct Node {
    hub: Arc<Hub>,
    replica: Arc<Replica<Memory>>,
    run: JoinHandle<()>,
}

impl Node {
    /// Stops the node's tasks without announcing it, and closes its links.
    fn halt(&self) {
        self.run.abort();
        for node in self.hub.linked() {
            self.hub.close(&node);
        }
    }
}

/// Returns an unused address. Its port is below the range that outgoing connections take theirs
/// from, so that none of them occupies it before the node listens.
/// An address at which nothing listens, and that no other test of this process is given.
fn free_address() -> SocketAddr {
    static GIVEN: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());
    loop {
        let port = rand::rng().random_range(10_000..32_000);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let mut given = GIVEN.lock().unwrap();
        if !given.contains(&port) && TcpListener::bind(address).is_ok() {
            given.insert(port);
            return address;
        }
    }
}

fn ring(keys: &[&str]) -> Keyring {
    Keyring::new(keys.iter().map(|key| Secret::new(*key)).collect())
}

/// Parameters of a node under test.
struct Builder {
    index: u64,
    listen: SocketAddr,
    link: SocketAddr,
    keys: Vec<&'static str>,
    seeds: Vec<String>,
    vms: Option<String>,
    fanout: usize,
}

impl Builder {
    fn new(index: u64, address: SocketAddr) -> Self {
        Self {
            index,
            listen: address,
            link: address,
            keys: vec!["the-shared-key"],
            seeds: Vec::new(),
            vms: None,
            fanout: 8,
        }
    }

    async fn start(self, table: &Memory) -> Node {
        let Builder {
            index,
            listen,
            link,
            keys,
            seeds,
            vms,
            fanout,
        } = self;
        let member = Member {
            node: format!("n{index}"),
            incarnation: 1,
            zone: "a".into(),
            http: String::new(),
            link: link.to_string(),
            leaving: false,
        };
        let hub = Hub::new(link::Settings {
            member: member.clone(),
            keys: ring(&keys),
            idle_timeout: Duration::from_millis(500),
            ..link::Settings::default()
        });
        hub.listen(listen).await.unwrap();
        let settings = sync::Settings {
            member,
            seeds,
            view: view::Settings {
                horizon: HORIZON,
                heartbeat: Duration::from_millis(50),
                silence_timeout: Duration::from_millis(300),
                fanout,
            },
            poll_interval: Duration::from_millis(100),
            accept_timeout: Duration::from_secs(2),
            lease_interval: Duration::from_millis(100),
            lease_ttl: Duration::from_millis(500),
            vm_list_lag: Duration::from_millis(500),
        };
        let vms = vms.map(|url| {
            vms::Client::new(vms::Settings {
                url,
                ..vms::Settings::default()
            })
        });
        let vms = vms.transpose().unwrap();
        let replica = Replica::new(settings, table.clone(), Arc::clone(&hub), vms);
        let run = tokio::spawn(Arc::clone(&replica).run());
        Node { hub, replica, run }
    }
}

async fn fleet(count: u64, table: &Memory) -> Vec<Node> {
    let mut nodes = Vec::new();
    for index in 0..count {
        let address = free_address();
        nodes.push(Builder::new(index, address).start(table).await);
    }
    let knows_all = |node: &Node| node.replica.config().members().count() == count as usize;
    until(|| {
        nodes
            .iter()
            .all(|node| knows_all(node) && node.hub.linked().len() + 1 == count as usize)
    })
    .await;
    nodes
}

async fn until(condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TIMEOUT, "not within {TIMEOUT:?}");
        sleep(Duration::from_millis(10)).await;
    }
}

fn zone(out: bool) -> Vec<Entry> {
    vec![Entry {
        key: "zone/a".into(),
        body: Some(format!(r#"{{"zone":{{"name":"a","out":{out}}}}}"#)),
    }]
}

fn is_serving(node: &Node) -> bool {
    node.replica.may_start(Instant::now()).is_ok()
}

#[tokio::test]
async fn change_is_accepted_and_applied_on_all_nodes() {
    let nodes = fleet(3, &Memory::default()).await;
    let accepted = nodes[1]
        .replica
        .propose("c".into(), None, zone(true))
        .await
        .unwrap();
    until(|| {
        nodes
            .iter()
            .all(|node| node.replica.config().is_zone_out("a"))
    })
    .await;
    until(|| {
        nodes[1]
            .replica
            .progress(accepted.revision)
            .outstanding
            .is_empty()
    })
    .await;
    assert!(nodes.iter().all(is_serving));
}

#[tokio::test]
async fn table_outage_stops_changes_but_not_requests() {
    let table = Memory::default();
    let nodes = fleet(3, &table).await;
    table.set_down(true);
    sleep(HORIZON * 2).await;
    assert!(nodes.iter().all(is_serving));
    let refused = nodes[0].replica.propose("c".into(), None, zone(true)).await;
    assert!(
        matches!(refused, Err(sync::Error::Platform(_))),
        "{refused:?}"
    );
}

#[tokio::test]
async fn isolated_node_is_stale_after_the_horizon() {
    let table = Memory::default();
    let nodes = fleet(3, &table).await;
    table.set_down(true);
    // With another link key, the node has no links: neither the platform nor a majority of the
    // members confirms its configuration.
    let isolated = Builder {
        keys: vec!["another-shared-key"],
        ..Builder::new(9, free_address())
    };
    let isolated = isolated.start(&table).await;
    sleep(HORIZON).await;
    assert!(!is_serving(&isolated) && is_serving(&nodes[0]));
}

#[tokio::test]
async fn node_starting_in_an_outage_syncs_from_a_seed() {
    let table = Memory::default();
    let nodes = fleet(3, &table).await;
    nodes[0]
        .replica
        .propose("c".into(), None, zone(true))
        .await
        .unwrap();
    table.set_down(true);
    let address = free_address();
    let seeds = vec![
        nodes[1]
            .replica
            .config()
            .members()
            .next()
            .unwrap()
            .link
            .clone(),
    ];
    let late = Builder {
        seeds,
        ..Builder::new(9, address)
    };
    let late = late.start(&table).await;
    until(|| is_serving(&late)).await;
    assert!(late.replica.config().is_zone_out("a") && !late.replica.joined());
}

#[tokio::test]
async fn leaving_node_is_marked_then_removed() {
    let nodes = fleet(3, &Memory::default()).await;
    nodes[2].replica.announce_leaving().await.unwrap();
    let state = |node: &Node| {
        let members = node.replica.members(Instant::now());
        members
            .iter()
            .find(|member| member.node == "n2")
            .map(|member| member.state)
    };
    until(|| state(&nodes[0]) == Some(view::State::Leaving)).await;
    nodes[2].replica.deregister().await.unwrap();
    until(|| state(&nodes[0]).is_none()).await;
}

#[tokio::test]
async fn broadcast_reaches_unlinked_nodes_exactly_once() {
    let table = Memory::default();
    let mut nodes: Vec<Node> = Vec::new();
    for count in 1..=8 {
        let address = free_address();
        let few_links = Builder {
            fanout: 2,
            ..Builder::new(count, address)
        };
        nodes.push(few_links.start(&table).await);
        let knows_all = |node: &Node| node.replica.config().members().count() as u64 == count;
        until(|| nodes.iter().all(knows_all)).await;
    }
    sleep(Duration::from_millis(500)).await;
    let links = |node: &Node| node.hub.linked().len();
    until(|| nodes.iter().all(|node| links(node) == 2)).await;
    let mut receivers: Vec<_> = nodes[1..].iter().map(|node| node.hub.subscribe()).collect();
    let suspect = Suspect {
        fingerprint: "f".into(),
        backend: "b".into(),
        age_ms: 0,
    };
    nodes[0].hub.broadcast(&Frame::Suspect(suspect));
    sleep(Duration::from_millis(500)).await;
    for frames in &mut receivers {
        assert_eq!(frames.try_recv().unwrap().from, "n1");
        assert!(frames.try_recv().is_err());
    }
}

#[tokio::test]
async fn frames_reach_subscribers_with_their_sender() {
    let nodes = fleet(2, &Memory::default()).await;
    let mut frames = nodes[1].hub.subscribe();
    let suspect = Suspect {
        fingerprint: "f".into(),
        backend: "b".into(),
        age_ms: 0,
    };
    nodes[0]
        .hub
        .send("n1", Frame::Suspect(suspect.clone()))
        .unwrap();
    let received = frames.recv().await.unwrap();
    assert_eq!(received.from, "n0");
    assert_eq!(received.frame, Frame::Suspect(suspect));
    assert!(
        nodes[0]
            .hub
            .send("n7", Frame::Fetch(Fetch { after: 0 }))
            .is_err()
    );
}

/// Starts a VM service that lists these nodes, and returns its URL.
async fn serve_vm_list(nodes: &[&str]) -> String {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}/v1/vms", listener.local_addr().unwrap());
    let groups: Vec<String> = nodes
        .iter()
        .map(|node| {
            format!(r#"{{"targets":["127.0.0.1:1"],"labels":{{"kind":"entry","node":"{node}"}}}}"#)
        })
        .collect();
    let body = format!("[{}]", groups.join(","));
    let response = format!(
        "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4096]).await;
            let _ = stream.write_all(response.as_bytes()).await;
        }
    });
    url
}

/// Each case halts the last of three nodes while the VM service lists the given ones, and gives the
/// expected number of members.
macro_rules! member_removal {
    ($($name:ident: $listed:expr => $members:expr,)*) => {$(
        #[tokio::test]
        async fn $name() {
            let table = Memory::default();
            let url = serve_vm_list(&$listed).await;
            let mut nodes = Vec::new();
            for index in 0..3 {
                let with_list = Builder {
                    vms: Some(url.clone()),
                    ..Builder::new(index, free_address())
                };
                nodes.push(with_list.start(&table).await);
            }
            until(|| nodes.iter().all(|node| node.replica.config().members().count() == 3)).await;
            nodes[2].halt();
            sleep(Duration::from_secs(4)).await;
            assert_eq!(nodes[0].replica.config().members().count(), $members);
            assert!(nodes[..2].iter().all(is_serving));
        }
    )*};
}

member_removal! {
    member_missing_from_the_vm_list_is_removed: ["n0", "n1"] => 2,
    member_on_the_vm_list_stays_after_its_lease_expires: ["n0", "n1", "n2"] => 3,
    vm_list_without_the_reading_node_is_ignored: [""; 0] => 3,
}

/// Each case gives the link keys of two nodes, and whether they link.
macro_rules! link_keys {
    ($($name:ident: $first:expr, $second:expr => $linked:expr,)*) => {$(
        #[tokio::test]
        async fn $name() {
            let table = Memory::default();
            let (a, b) = (free_address(), free_address());
            let first = Builder { keys: $first.to_vec(), ..Builder::new(0, a) };
            let second = Builder { keys: $second.to_vec(), ..Builder::new(1, b) };
            let (first, second) = (first.start(&table).await, second.start(&table).await);
            first.hub.connect("n1", b.to_string());
            sleep(Duration::from_millis(500)).await;
            assert_eq!(first.hub.is_linked("n1"), $linked);
            assert_eq!(second.hub.is_linked("n0"), $linked);
        }
    )*};
}

link_keys! {
    same_key: ["the-shared-key"], ["the-shared-key"] => true,
    rotated_key: ["the-new-key", "the-shared-key"], ["the-shared-key", "the-new-key"] => true,
    other_key: ["the-shared-key"], ["another-key"] => false,
}

/// Starts a proxy that forwards bytes. Connections that carry data while `frozen` is set stop
/// forwarding for good; connections opened after it is cleared work again.
async fn proxy(target: SocketAddr, frozen: Arc<AtomicBool>) -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let server = TcpStream::connect(target).await.unwrap();
            let (from_client, to_client) = client.into_split();
            let (from_server, to_server) = server.into_split();
            let silent = Arc::new(AtomicBool::new(false));
            tokio::spawn(forward(
                from_client,
                to_server,
                frozen.clone(),
                silent.clone(),
            ));
            tokio::spawn(forward(from_server, to_client, frozen.clone(), silent));
        }
    });
    address
}

async fn forward(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    frozen: Arc<AtomicBool>,
    silent: Arc<AtomicBool>,
) {
    let mut buffer = vec![0; 65536];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        if frozen.load(Ordering::SeqCst) {
            silent.store(true, Ordering::SeqCst);
        }
        // A silenced connection never recovers, while new connections work.
        if silent.load(Ordering::SeqCst) {
            continue;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
    std::future::pending::<()>().await;
}

#[tokio::test]
async fn silent_connection_is_replaced_while_new_ones_work() {
    let table = Memory::default();
    let frozen = Arc::new(AtomicBool::new(false));
    let (a, b) = (free_address(), free_address());
    let first = Builder {
        link: proxy(a, frozen.clone()).await,
        ..Builder::new(0, a)
    };
    let second = Builder {
        link: proxy(b, frozen.clone()).await,
        ..Builder::new(1, b)
    };
    let (first, second) = (first.start(&table).await, second.start(&table).await);
    let nodes = [first, second];
    until(|| nodes.iter().all(|node| node.hub.linked().len() == 1)).await;
    frozen.store(true, Ordering::SeqCst);
    sleep(Duration::from_millis(100)).await;
    frozen.store(false, Ordering::SeqCst);
    let sees_all_live = |node: &Node| {
        let members = node.replica.members(Instant::now());
        members.len() == 2
            && members
                .iter()
                .all(|member| member.state == view::State::Live)
    };
    until(|| !sees_all_live(&nodes[0])).await;
    until(|| nodes.iter().all(sees_all_live)).await;
    table.set_down(true);
    sleep(HORIZON * 2).await;
    assert!(nodes.iter().all(is_serving));
}

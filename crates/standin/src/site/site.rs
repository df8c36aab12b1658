//! A whole site: a store, backend servers, an operator and nodes.

use super::{Node, Path, Store, Worker};
use crate::Error;
use rand::Rng;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

/// Ports of all sites, below those that the system gives to connections.
const PORTS: std::ops::Range<u16> = 10_000..31_900;
/// Ports of one site; its nodes have addresses of their own.
const PORTS_EACH: u16 = 10;

/// Sites by which the ports of one process lie apart from those of the next one.
const PORTS_STEP: u32 = 61;

/// First port of a site that no other site of this process has.
fn first_port() -> u16 {
    static SITES: AtomicU32 = AtomicU32::new(0);
    let parts = u32::from((PORTS.end - PORTS.start) / PORTS_EACH);
    // Processes that run beside each other begin apart.
    let first = std::process::id().wrapping_mul(PORTS_STEP);
    let part = first.wrapping_add(SITES.fetch_add(1, Ordering::Relaxed)) % parts;
    PORTS.start + part as u16 * PORTS_EACH
}

/// Size and configuration of a site.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Nodes.
    pub nodes: u8,
    /// Backend servers of the plain service `desk`.
    pub desks: usize,
    /// Backend servers of the model service `models`.
    pub models: usize,
    /// Bounds of the settings file that differ from the usual ones.
    pub bounds: Value,
    /// Whether nobody reads what the nodes log.
    pub unread_logs: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            nodes: 1,
            desks: 2,
            models: 0,
            bounds: json!({}),
            unread_logs: false,
        }
    }
}

impl Settings {
    /// The bounds of the settings file.
    pub(super) fn bounds(&self) -> Value {
        let mut bounds = json!({
            "drainMs": 2000, "graceS": 8, "configApplyMs": 2000, "retryBudgetRatio": 0.9,
            "retryWindowS": 10, "retryBudgetExtra": 60, "exposeShare": 0.15, "exposeSlack": 30,
            "coldOver": 1.5, "coldSlack": 5, "sessionS": 5, "ttl_max_s": 5,
        });
        if let (Some(all), Some(own)) = (bounds.as_object_mut(), self.bounds.as_object()) {
            all.extend(own.clone());
        }
        bounds
    }
}

/// A whole site; it ends when dropped.
#[derive(Debug)]
pub struct Site {
    /// The store.
    pub store: Store,
    /// The store's addresses, one a node.
    pub doors: Vec<SocketAddr>,
    /// Backend servers of the plain service.
    pub desks: Vec<Worker>,
    /// Backend servers of the model service.
    pub models: Vec<Worker>,
    /// The nodes.
    pub nodes: Vec<Node>,
    settings: Settings,
    folder: PathBuf,
    ports: u16,
}

impl Drop for Site {
    fn drop(&mut self) {
        // What stays behind is in the system's folder for temporary files.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Site {
    /// Starts a site and waits until its nodes are ready.
    pub async fn start(settings: Settings) -> Result<Self, Error> {
        let mut site = Self::prepare(settings).await?;
        site.configure(1);
        for index in 0..site.settings.nodes {
            site.start_node(index).await?;
        }
        for node in &site.nodes {
            node.until_ready(true).await?;
        }
        Ok(site)
    }

    /// A site without a configuration and without nodes.
    pub async fn prepare(settings: Settings) -> Result<Self, Error> {
        let tag: u64 = rand::rng().random();
        let folder = std::env::temp_dir().join(format!("sardinebank-site-{tag:016x}"));
        std::fs::create_dir_all(&folder)?;
        let mut site = Self {
            store: Store::new(),
            doors: Vec::new(),
            desks: Vec::new(),
            models: Vec::new(),
            nodes: Vec::new(),
            folder,
            ports: first_port(),
            settings,
        };
        for index in 0..site.settings.desks {
            let worker = Worker::start(&format!("i-desk-{index}")).await?;
            site.list(&worker, "desk", "v1", "ready");
            site.desks.push(worker);
        }
        for index in 0..site.settings.models {
            let worker = Worker::start(&format!("i-model-{index}")).await?;
            site.list(&worker, "models", "v1", "ready");
            site.models.push(worker);
        }
        Ok(site)
    }

    /// Starts one more node.
    pub async fn start_node(&mut self, index: u8) -> Result<(), Error> {
        let door = self.store.open().await?;
        self.start_node_at(index, door)
    }

    /// Starts one more node with its address of the store.
    pub fn start_node_at(&mut self, index: u8, door: SocketAddr) -> Result<(), Error> {
        let folder = self.folder.clone();
        let node = Node::start(folder, index, self.ports, door, &self.settings)?;
        self.doors.push(door);
        self.nodes.push(node);
        Ok(())
    }

    /// Starts a node again that was started before, with its address of the store.
    pub async fn restart_node(&mut self, index: usize, door: SocketAddr) -> Result<(), Error> {
        let old = &mut self.nodes[index];
        old.kill().await?;
        let folder = self.folder.clone();
        let index = index as u8;
        let node = Node::start(folder, index, self.ports, door, &self.settings)?;
        self.nodes[usize::from(index)] = node;
        Ok(())
    }

    /// Starts a node again with a path of its own to the backend servers that there are, which its
    /// address of the store names from then on.
    pub async fn separate(&mut self, index: usize) -> Result<Path, Error> {
        let servers = self.desks.iter().chain(&self.models);
        let path = Path::start(servers.map(Worker::address)).await?;
        let door = self.doors[index];
        self.store.set_path(door, path.addresses());
        self.restart_node(index, door).await?;
        Ok(path)
    }

    /// Writes a backend server's entry.
    pub fn list(&self, worker: &Worker, service: &str, version: &str, state: &str) {
        self.list_at(worker, worker.address(), service, version, state, 1);
    }

    /// Writes the entry of a backend server's start, at an address on the way to it.
    pub fn list_at(
        &self,
        worker: &Worker,
        address: SocketAddr,
        service: &str,
        version: &str,
        state: &str,
        born: u64,
    ) {
        let entry = json!({
            "service": service, "address": address, "zone": "z-0", "version": version,
            "slots": 16, "state": state, "coldRemainingMs": 0, "sequence": 1,
            "born": born,
        });
        self.store.put("servers", worker.id(), Some(&entry));
    }

    /// Writes the configuration as of a version.
    pub fn configure(&self, version: u64) {
        self.store.put("op", "config", Some(&config(version)));
    }
}

/// The usual configuration: plain routes that may and may not be repeated, and a stream.
pub fn config(version: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str, attempts: u32| {
        json!({
            "name": name, "host": "shop.example", "prefix": format!("/{name}/"),
            "routeType": kind, "timeoutMs": 5000, "targetLatencyMs": 400, "priority": 1,
            "service": service, "attempts": attempts, "anonymous": false,
        })
    };
    let mut stream = route("stream", "streaming", "models", 3);
    stream["streamResume"] = json!(true);
    stream["gapAimMs"] = json!(1000);
    stream["sizes"] = json!(["small", "large"]);
    stream["targetLatencyMs"] = json!(1000);
    json!({
        "version": version,
        "routes": [
            route("once", "non_idempotent", "desk", 2),
            route("again", "idempotent", "desk", 2),
            stream,
        ],
        "services": [
            {"name": "desk", "maxConnections": 90, "coldStartS": 0, "coldPerS": 0},
            {"name": "models", "maxConnections": 90, "coldStartS": 3, "coldPerS": 10, "engine": {
                "slots": 16, "kvCapacityTokens": 100_000, "stride": 7,
                "models": [{"name": "small", "cost": 0.1}, {"name": "large", "cost": 1.0}],
            }},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100_000, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000},
        "tenants": [{"name": "farm", "apiKeys": ["key-1", "key-2"]}],
    })
}

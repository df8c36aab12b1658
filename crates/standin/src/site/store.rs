//! The platform's store: rows, conditions and a feed.

use super::fault::StoreFault;
use super::wire::{Request, answer, read, reset};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// A row by table and key.
type Key = (String, String);

/// Rows as of one moment.
#[derive(Clone, Debug)]
pub struct Copy {
    rows: BTreeMap<Key, (Value, u64)>,
    removed: BTreeMap<Key, u64>,
    position: u64,
    forgotten: u64,
}

#[derive(Debug, Default)]
struct Rows {
    rows: BTreeMap<Key, (Value, u64)>,
    removed: BTreeMap<Key, u64>,
    position: u64,
    /// Changes up to here are forgotten.
    forgotten: u64,
    /// Number of times that the store came back from a copy, counted from one.
    era: u64,
    fault: StoreFault,
    /// Doors at which alone the fault holds; empty for all.
    struck: Vec<SocketAddr>,
    /// By door, the addresses that it names in place of those of backend servers.
    paths: BTreeMap<SocketAddr, BTreeMap<SocketAddr, SocketAddr>>,
    calls: BTreeMap<String, u64>,
}

#[derive(Debug)]
struct Shared {
    rows: Mutex<Rows>,
    changed: Notify,
    started: Instant,
}

/// A running store; it stops when dropped.
#[derive(Debug)]
pub struct Store {
    shared: Arc<Shared>,
    doors: Mutex<Vec<JoinHandle<()>>>,
}

impl Drop for Store {
    fn drop(&mut self) {
        for door in self
            .doors
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .iter()
        {
            door.abort();
        }
    }
}

impl Default for Store {
    fn default() -> Self {
        Self::new()
    }
}

impl Store {
    /// A store without rows, and without a door.
    pub fn new() -> Self {
        let shared = Arc::new(Shared {
            rows: Mutex::new(Rows {
                era: 1,
                ..Rows::default()
            }),
            changed: Notify::new(),
            started: Instant::now(),
        });
        Self {
            shared,
            doors: Mutex::default(),
        }
    }

    /// Opens one more address. Faults can hold at some of them only.
    pub async fn open(&self) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(serve(listener, Arc::clone(&self.shared)));
        self.doors
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(task);
        Ok(address)
    }

    /// Writes a row as the operator or a backend server does; none removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&Value>) {
        let bytes = value.map(|value| value.to_string().into_bytes());
        self.put_bytes(table, key, bytes.as_deref());
    }

    /// Number of the last change.
    pub fn position(&self) -> u64 {
        self.shared.rows().position
    }

    /// Writes a row of any bytes.
    pub fn put_bytes(&self, table: &str, key: &str, value: Option<&[u8]>) {
        let mut rows = self.shared.rows();
        let next = rows.position + 1;
        rows.apply(
            next,
            table,
            key,
            value.map(|value| json!(STANDARD.encode(value))),
        );
        drop(rows);
        self.shared.changed.notify_waiters();
    }

    /// A row as JSON; none when there is none.
    pub fn get(&self, table: &str, key: &str) -> Option<Value> {
        let rows = self.shared.rows();
        let (value, _) = rows.rows.get(&(table.to_owned(), key.to_owned()))?;
        let bytes = STANDARD.decode(value.as_str()?).ok()?;
        serde_json::from_slice(&bytes).ok()
    }

    /// Sets what goes wrong, at some doors or at all.
    pub fn set_fault(&self, fault: StoreFault, struck: &[SocketAddr]) {
        let mut rows = self.shared.rows();
        rows.fault = fault;
        rows.struck = struck.to_vec();
        drop(rows);
        self.shared.changed.notify_waiters();
    }

    /// Makes a door name other addresses in place of those of backend servers.
    pub fn set_path(&self, door: SocketAddr, path: BTreeMap<SocketAddr, SocketAddr>) {
        self.shared.rows().paths.insert(door, path);
    }

    /// Forgets the history; calls that wait for changes end.
    pub fn forget(&self) {
        let mut rows = self.shared.rows();
        rows.position += 1;
        rows.forgotten = rows.position;
        rows.removed.clear();
        drop(rows);
        self.shared.changed.notify_waiters();
    }

    /// Takes a copy of all rows.
    pub fn copy(&self) -> Copy {
        let rows = self.shared.rows();
        Copy {
            rows: rows.rows.clone(),
            removed: rows.removed.clone(),
            position: rows.position,
            forgotten: rows.forgotten,
        }
    }

    /// Comes back from an older copy: what was written since is gone, and positions are given out again.
    pub fn restore(&self, copy: &Copy) {
        let mut rows = self.shared.rows();
        rows.rows = copy.rows.clone();
        rows.removed = copy.removed.clone();
        rows.position = copy.position;
        rows.forgotten = copy.forgotten;
        rows.era += 1;
        drop(rows);
        self.shared.changed.notify_waiters();
    }

    /// Calls so far, by name.
    pub fn calls(&self) -> BTreeMap<String, u64> {
        self.shared.rows().calls.clone()
    }
}

impl Shared {
    fn rows(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Rows {
    fn apply(&mut self, position: u64, table: &str, key: &str, value: Option<Value>) {
        self.position = position;
        let row = (table.to_owned(), key.to_owned());
        match value {
            Some(value) => {
                self.removed.remove(&row);
                self.rows.insert(row, (value, position));
            }
            None => {
                self.rows.remove(&row);
                self.removed.insert(row, position);
            }
        }
    }

    fn list(&self, table: &str, after: u64) -> Vec<Value> {
        let kept = self.rows.iter().map(|((table, key), (value, ver))| {
            (
                *ver,
                json!({"table": table, "part": "", "key": key, "value": value, "ver": ver}),
            )
        });
        let removed = self
            .removed
            .iter()
            .filter(|_| after > 0)
            .map(|((table, key), ver)| {
                (
                    *ver,
                    json!({"table": table, "part": "", "key": key, "ver": ver, "deleted": true}),
                )
            });
        let mut rows: Vec<_> = kept
            .chain(removed)
            .filter(|(ver, row)| *ver > after && row["table"] == table)
            .collect();
        rows.sort_by_key(|(ver, _)| *ver);
        rows.into_iter().map(|(_, row)| row).collect()
    }

    fn transact(&mut self, body: &Value) -> (u16, Value) {
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let text = |row: &Value, name: &str| row[name].as_str().unwrap_or_default().to_owned();
        for row in list("expectedRev") {
            let key = (text(&row, "table"), text(&row, "key"));
            let present = self.rows.get(&key).map_or(0, |(_, ver)| *ver);
            if Some(present) != row["ver"].as_u64() {
                let rows = self.list(&key.0, 0);
                return (412, json!({"rows": rows, "ver": self.position}));
            }
        }
        let next = self.position + 1;
        for row in list("puts") {
            let value = row["value"].clone();
            self.apply(next, &text(&row, "table"), &text(&row, "key"), Some(value));
        }
        for row in list("remove") {
            self.apply(next, &text(&row, "table"), &text(&row, "key"), None);
        }
        (200, json!({"ver": self.position}))
    }
}

async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            if let Err(error) = connection(stream, &shared).await {
                log::debug!("connection to the store ended: {error}");
            }
        });
    }
}

async fn connection(mut stream: TcpStream, shared: &Shared) -> std::io::Result<()> {
    let door = stream.local_addr()?;
    while let Some(request) = read(&mut stream).await? {
        let fault = {
            let mut rows = shared.rows();
            let name = request.path.split('?').next().unwrap_or_default();
            *rows.calls.entry(name.to_owned()).or_default() += 1;
            match rows.struck.is_empty() || rows.struck.contains(&door) {
                true => rows.fault,
                false => StoreFault::None,
            }
        };
        match fault {
            StoreFault::Refuse(status) => {
                answer(&mut stream, status, &[], b"").await?;
                continue;
            }
            StoreFault::Silent => std::future::pending::<()>().await,
            StoreFault::None | StoreFault::LoseAnswers => (),
        }
        let (status, body, era) = call(shared, &request, door).await;
        if fault == StoreFault::LoseAnswers && request.method == "POST" {
            return reset(&stream);
        }
        let body = body.to_string();
        let era = era.to_string();
        let headers = [("content-type", "application/json"), ("store-era", &*era)];
        answer(&mut stream, status, &headers, body.as_bytes()).await?;
    }
    Ok(())
}

/// Executes a call; returns the status, the body and the era that they are of.
async fn call(shared: &Shared, request: &Request, door: SocketAddr) -> (u16, Value, u64) {
    let table = request.parameter("table").unwrap_or_default();
    let (status, mut body, era) = match request.path.split('?').next() {
        Some("/sardinebank/rows-tx") => {
            let body = serde_json::from_slice(&request.body).unwrap_or_default();
            let mut rows = shared.rows();
            let (status, body) = rows.transact(&body);
            let era = rows.era;
            drop(rows);
            shared.changed.notify_waiters();
            (status, body, era)
        }
        Some("/sardinebank/rows-get") => {
            let rows = shared.rows();
            let list = rows.list(&table, 0);
            (
                200,
                json!({"rows": list, "hasMore": false, "ver": rows.position}),
                rows.era,
            )
        }
        Some("/sardinebank/rows-feed") => feed(shared, request, &table, door).await,
        _ => (404, json!({}), shared.rows().era),
    };
    if let (Some(path), "servers") = (shared.rows().paths.get(&door), &*table) {
        replace_addresses(&mut body["rows"], path);
    }
    body["nowMs"] = json!(shared.started.elapsed().as_millis() as u64);
    (status, body, era)
}

/// Replaces the addresses of backend servers in rows.
fn replace_addresses(rows: &mut Value, path: &BTreeMap<SocketAddr, SocketAddr>) {
    for row in rows.as_array_mut().into_iter().flatten() {
        if let Some(value) = row["value"]
            .as_str()
            .and_then(|value| replaced(value, path))
        {
            row["value"] = json!(value);
        }
    }
}

/// The entry of a backend server with its address replaced; none if it stays as it is.
fn replaced(value: &str, path: &BTreeMap<SocketAddr, SocketAddr>) -> Option<String> {
    let mut entry: Value = serde_json::from_slice(&STANDARD.decode(value).ok()?).ok()?;
    let address: SocketAddr = entry["address"].as_str()?.parse().ok()?;
    entry["address"] = json!(path.get(&address)?);
    Some(STANDARD.encode(entry.to_string()))
}

async fn feed(
    shared: &Shared,
    request: &Request,
    table: &str,
    door: SocketAddr,
) -> (u16, Value, u64) {
    let number = |name| request.parameter(name).and_then(|text| text.parse().ok());
    let after: u64 = number("sinceRev").unwrap_or(0);
    let end = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
    loop {
        let changed = shared.changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        {
            let rows = shared.rows();
            let struck = rows.struck.is_empty() || rows.struck.contains(&door);
            if let (StoreFault::Refuse(status), true) = (rows.fault, struck) {
                return (status, json!({}), rows.era);
            }
            if after < rows.forgotten || after > rows.position {
                return (410, json!({}), rows.era);
            }
            let list = rows.list(table, after);
            if !list.is_empty() || Instant::now() >= end {
                return (200, json!({"rows": list, "ver": rows.position}), rows.era);
            }
        }
        // At the end of the wait the answer has no rows.
        let _ = timeout(end.saturating_duration_since(Instant::now()), changed).await;
    }
}

//! The platform's store: rows, conditions, a change feed, and a drill that brings back an older copy.

use crate::http::{Connection, Message};
use crate::json::{base64, Json};
use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Table and key of a row; its partition is empty.
type Key = (String, String);

/// Rows with their versions, and the one counter that they are taken from.
#[derive(Clone, Default)]
struct Rows {
    rows: BTreeMap<Key, (String, u64)>,
    removed: BTreeMap<Key, u64>,
    version: u64,
    /// Changes up to this version can't be read from the feed any more.
    forgotten: u64,
}

struct State {
    rows: Rows,
    era: u64,
    /// Whether calls get no answer and connections are closed.
    away: bool,
    connections: Vec<TcpStream>,
    calls: BTreeMap<String, u64>,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
}

/// A copy of the store.
#[derive(Clone)]
pub struct Copy(Rows);

impl Store {
    /// Starts an empty store.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = State {
            rows: Rows::default(),
            era: 1,
            away: false,
            connections: Vec::new(),
            calls: BTreeMap::new(),
        };
        let store = Self {
            address: listener.local_addr()?,
            state: Arc::new((Mutex::new(state), Condvar::new())),
            started: Instant::now(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Its address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap()
    }

    /// Writes a row as the operator or a worker does; none removes it. Returns its version, which is the
    /// acknowledgement; none while the store is away.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) -> Option<u64> {
        let mut state = self.state();
        if state.away {
            return None;
        }
        state.rows.version += 1;
        let version = state.rows.version;
        state.rows.set(version, (table.into(), key.into()), value.map(|value| base64(value.as_bytes())));
        drop(state);
        self.state.1.notify_all();
        Some(version)
    }

    /// Takes a transaction that changes no row that others see: the counter increases.
    pub fn touch(&self) {
        let mut state = self.state();
        if !state.away {
            state.rows.version += 1;
        }
    }

    /// Version of a row; none if there is none.
    pub fn version_of(&self, table: &str, key: &str) -> Option<u64> {
        self.state().rows.rows.get(&(table.into(), key.into())).map(|(_, version)| *version)
    }

    /// The counter.
    pub fn version(&self) -> u64 {
        self.state().rows.version
    }

    /// Takes a copy.
    pub fn copy(&self) -> Copy {
        Copy(self.state().rows.clone())
    }

    /// Goes away: connections are closed, and calls get no answer.
    pub fn leave(&self) {
        let mut state = self.state();
        state.away = true;
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        drop(state);
        self.state.1.notify_all();
    }

    /// Comes back, with the rows that it had or with those of an older copy.
    pub fn come_back(&self, copy: Option<&Copy>) {
        let mut state = self.state();
        if let Some(Copy(rows)) = copy {
            state.rows = rows.clone();
            state.era += 1;
        }
        state.away = false;
    }

    /// Calls so far, by path.
    pub fn calls(&self) -> BTreeMap<String, u64> {
        self.state().calls.clone()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = (|| -> io::Result<()> {
            {
                let mut state = self.state();
                if state.away {
                    return stream.shutdown(Shutdown::Both);
                }
                state.connections.retain(|connection| connection.peer_addr().is_ok());
                state.connections.push(stream.try_clone()?);
            }
            let mut connection = Connection::new(stream)?;
            while let Some(request) = connection.message(false)? {
                let era = {
                    let mut state = self.state();
                    if state.away {
                        return Ok(());
                    }
                    *state.calls.entry(request.path().to_owned()).or_default() += 1;
                    state.era
                };
                let Some((status, body)) = self.call(&request, era) else {
                    return connection.stream.shutdown(Shutdown::Both);
                };
                let era = era.to_string();
                let headers = [("content-type", "application/json"), ("store-era", &era)];
                connection.answer(status, &headers, body.as_bytes())?;
            }
            Ok(())
        })();
    }

    /// Carries out a call; none if the store has gone away meanwhile.
    fn call(&self, request: &Message, era: u64) -> Option<(u16, String)> {
        // About the time of a transaction or an answer.
        thread::sleep(Duration::from_millis(3));
        let table = request.parameter("table").unwrap_or_default();
        let now_ms = self.started.elapsed().as_millis();
        let mut state = self.state();
        if state.away || state.era != era {
            return None;
        }
        match request.path() {
            "/sardinebank/rows-tx" => {
                let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
                let (status, rows) = state.rows.transact(&body);
                let version = state.rows.version;
                drop(state);
                self.state.1.notify_all();
                Some((status, format!(r#"{{"rows":{rows},"ver":{version},"nowMs":{now_ms}}}"#)))
            }
            "/sardinebank/rows-get" => {
                let rows = state.rows.list(&table, None);
                let version = state.rows.version;
                Some((200, format!(r#"{{"rows":{rows},"hasMore":false,"ver":{version},"nowMs":{now_ms}}}"#)))
            }
            "/sardinebank/rows-feed" => {
                let number = |name| request.parameter(name).and_then(|text| text.parse::<u64>().ok());
                let since = number("sinceRev").unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
                loop {
                    if state.away || state.era != era {
                        return None;
                    }
                    if since < state.rows.forgotten || since > state.rows.version {
                        return Some((410, "{}".to_owned()));
                    }
                    let rows = state.rows.list(&table, Some(since));
                    let left = end.saturating_duration_since(Instant::now());
                    if rows != "[]" || left.is_zero() {
                        let version = state.rows.version;
                        return Some((200, format!(r#"{{"rows":{rows},"ver":{version},"nowMs":{now_ms}}}"#)));
                    }
                    state = self.state.1.wait_timeout(state, left).unwrap().0;
                }
            }
            _ => Some((404, "{}".to_owned())),
        }
    }
}

impl Rows {
    fn set(&mut self, version: u64, key: Key, value: Option<String>) {
        match value {
            Some(value) => {
                self.removed.remove(&key);
                self.rows.insert(key, (value, version));
            }
            None => {
                self.rows.remove(&key);
                self.removed.insert(key, version);
            }
        }
    }

    /// Rows of a table, or its changes after a version, in order.
    fn list(&self, table: &str, since: Option<u64>) -> String {
        let mut found = Vec::new();
        for ((known, key), (value, version)) in &self.rows {
            if known == table && since.is_none_or(|since| *version > since) {
                found.push((*version, format!(r#"{{"table":"{table}","part":"","key":"{key}","value":"{value}","ver":{version}}}"#)));
            }
        }
        for ((known, key), version) in &self.removed {
            if known == table && since.is_some_and(|since| *version > since) {
                found.push((*version, format!(r#"{{"table":"{table}","part":"","key":"{key}","ver":{version},"deleted":true}}"#)));
            }
        }
        if since.is_some() {
            found.sort_by_key(|(version, _)| *version);
        }
        let texts: Vec<_> = found.into_iter().map(|(_, text)| text).collect();
        format!("[{}]", texts.join(","))
    }

    fn transact(&mut self, body: &Json) -> (u16, String) {
        let key = |row: &Json| (row.get("table").text().to_owned(), row.get("key").text().to_owned());
        for row in body.get("expectedRev").list() {
            let present = self.rows.get(&key(row)).map_or(0, |(_, version)| *version);
            if Some(present) != row.get("ver").number() {
                return (412, self.list(row.get("table").text(), None));
            }
        }
        self.version += 1;
        let version = self.version;
        for row in body.get("puts").list() {
            self.set(version, key(row), Some(row.get("value").text().to_owned()));
        }
        for row in body.get("remove").list() {
            self.set(version, key(row), None);
        }
        (200, "[]".to_owned())
    }
}

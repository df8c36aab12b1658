//! The platform's store: rows, writes under conditions and a feed, by the page on what is spoken.

use crate::base64;
use crate::http::{Connection, Message};
use crate::json::{Json, quote};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Table, part and key.
type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    /// The value, none where it was removed, and the version of the last change.
    rows: BTreeMap<Key, (Option<String>, u64)>,
    ver: u64,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    pub address: SocketAddr,
    started: Instant,
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            rows: Arc::default(),
            address: listener.local_addr()?,
            started: Instant::now(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(Some(request)) = connection.request() {
                        let (status, body) = store.call(&request);
                        let headers = [("content-type", "application/json")];
                        if connection
                            .answer(status, &headers, body.as_bytes())
                            .is_err()
                        {
                            return;
                        }
                    }
                });
            }
        });
        Ok(store)
    }

    /// Writes a row as the operator or a backend server does; none removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        rows.ver += 1;
        let ver = rows.ver;
        let value = value.map(|value| base64::encode(value.as_bytes()));
        let key = (table.to_owned(), String::new(), key.to_owned());
        rows.rows.insert(key, (value, ver));
        changed.notify_all();
    }

    fn call(&self, request: &Message) -> (u16, String) {
        match request.path() {
            "/sardinebank/rows-get" => self.read(request),
            "/sardinebank/rows-feed" => self.feed(request),
            "/sardinebank/rows-tx" => self.write(request),
            _ => (404, "{}".to_owned()),
        }
    }

    fn read(&self, request: &Message) -> (u16, String) {
        let (table, part) = (request.parameter("table"), request.parameter("part"));
        let (from, to) = (request.parameter("from"), request.parameter("to"));
        let limit = request.parameter("limit").parse().unwrap_or(500).min(500);
        let rows = self.rows.0.lock().unwrap();
        let mut found: Vec<_> = rows
            .rows
            .iter()
            .filter(|((of, in_part, key), (value, _))| {
                *of == table
                    && *in_part == part
                    && value.is_some()
                    && *key >= from
                    && (to.is_empty() || *key < to)
            })
            .map(|(key, row)| encode(key, row))
            .collect();
        let more = found.len() > limit;
        found.truncate(limit);
        let body = format!(
            "{{\"rows\":[{}],\"hasMore\":{more},\"ver\":{},\"nowMs\":{}}}",
            found.join(","),
            rows.ver,
            self.now_ms()
        );
        (200, body)
    }

    fn feed(&self, request: &Message) -> (u16, String) {
        let table = request.parameter("table");
        let since: u64 = request.parameter("sinceRev").parse().unwrap_or(0);
        let wait: u64 = request.parameter("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        loop {
            let mut found: Vec<_> = rows
                .rows
                .iter()
                .filter(|((of, ..), (_, ver))| *of == table && *ver > since)
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                found.sort_by_key(|(_, (_, ver))| *ver);
                let found: Vec<_> = found
                    .into_iter()
                    .map(|(key, row)| encode(key, row))
                    .collect();
                let body = format!(
                    "{{\"rows\":[{}],\"ver\":{},\"nowMs\":{}}}",
                    found.join(","),
                    rows.ver,
                    self.now_ms()
                );
                return (200, body);
            }
            rows = changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn write(&self, request: &Message) -> (u16, String) {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let Some(body) = Json::parse(&text) else {
            return (400, "{}".to_owned());
        };
        let key = |row: &Json| -> Key {
            (
                row.get("table").text().to_owned(),
                row.get("part").text().to_owned(),
                row.get("key").text().to_owned(),
            )
        };
        let (puts, removes) = (body.get("puts").list(), body.get("remove").list());
        let theirs = |row: &Json| ["op", "servers"].contains(&row.get("table").text());
        if puts.iter().chain(removes).any(theirs) {
            return (403, "{}".to_owned());
        }
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        for row in body.get("expectedRev").list() {
            let known = rows
                .rows
                .get(&key(row))
                .filter(|(value, _)| value.is_some());
            let ver = known.map_or(0, |(_, ver)| *ver);
            if ver as f64 != row.get("ver").number() {
                let found = known
                    .map(|known| encode(&key(row), known))
                    .unwrap_or_default();
                return (
                    412,
                    format!(
                        "{{\"rows\":[{found}],\"ver\":{},\"nowMs\":{}}}",
                        rows.ver,
                        self.now_ms()
                    ),
                );
            }
        }
        rows.ver += 1;
        let ver = rows.ver;
        for row in puts {
            rows.rows
                .insert(key(row), (Some(row.get("value").text().to_owned()), ver));
        }
        for row in removes {
            rows.rows.insert(key(row), (None, ver));
        }
        changed.notify_all();
        (
            200,
            format!("{{\"ver\":{ver},\"nowMs\":{}}}", self.now_ms()),
        )
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }
}

fn encode((table, part, key): &Key, (value, ver): &(Option<String>, u64)) -> String {
    let end = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"deleted\":true".to_owned(),
    };
    let (table, part, key) = (quote(table), quote(part), quote(key));
    format!("{{\"table\":{table},\"part\":{part},\"key\":{key},\"ver\":{ver},{end}}}")
}

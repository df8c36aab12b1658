//! The platform's store: rows, conditions and a feed.

use crate::http::{Reader, Request, answer};
use crate::json::{Json, from_base64, parse, quote, to_base64};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Row {
    /// Base64; none when the row was removed.
    value: Option<String>,
    ver: u64,
}

/// A write of a node.
#[derive(Clone, Debug)]
pub struct Written {
    pub at: Instant,
    pub table: String,
    pub key: String,
    pub value: String,
}

#[derive(Default)]
struct Rows {
    rows: BTreeMap<(String, String), Row>,
    ver: u64,
    written: Vec<Written>,
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let store = Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            address: listener.local_addr().expect("an address"),
        });
        let shared = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&shared);
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().unwrap_or_else(|error| error.into_inner())
    }

    /// Writes a row as the operator or a worker does; none removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let mut rows = self.lock();
        rows.ver += 1;
        let ver = rows.ver;
        let value = value.map(|text| to_base64(text.as_bytes()));
        let key = (table.to_owned(), key.to_owned());
        rows.rows.insert(key, Row { value, ver });
        drop(rows);
        self.changed.notify_all();
    }

    pub fn get(&self, table: &str, key: &str) -> Option<String> {
        let rows = self.lock();
        let row = rows.rows.get(&(table.to_owned(), key.to_owned()))?;
        let value = row.value.as_deref()?;
        String::from_utf8(from_base64(value)).ok()
    }

    /// What nodes have written so far.
    pub fn written(&self) -> Vec<Written> {
        self.lock().written.clone()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(&stream);
        while let Ok(Some(request)) = reader.request() {
            let (status, body) = self.call(&request);
            let json = [("content-type", "application/json")];
            if answer(&stream, status, &json, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn call(&self, request: &Request) -> (u16, String) {
        let path = request.head.second();
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let value = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs
                .filter(|(key, _)| *key == name)
                .map(|(_, value)| value);
            unescape(found.last().unwrap_or_default())
        };
        let table = value("table");
        match path {
            "/sardinebank/rows-get" => {
                let rows = self.lock();
                (200, self.page(&rows, &table, 0, false))
            }
            "/sardinebank/rows-feed" => {
                let since = value("sinceRev").parse().unwrap_or(0);
                let wait: u64 = value("waitMs").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait.min(30_000));
                let mut rows = self.lock();
                loop {
                    let has_news = rows
                        .rows
                        .iter()
                        .any(|((name, _), row)| *name == table && row.ver > since);
                    let left = until.saturating_duration_since(Instant::now());
                    if has_news || left.is_zero() {
                        return (200, self.page(&rows, &table, since, true));
                    }
                    let waited = self.changed.wait_timeout(rows, left);
                    rows = waited.unwrap_or_else(|error| error.into_inner()).0;
                }
            }
            "/sardinebank/rows-tx" => {
                let body = parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
                self.transact(&body)
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn page(&self, rows: &Rows, table: &str, since: u64, is_feed: bool) -> String {
        let mut found: Vec<_> = rows
            .rows
            .iter()
            .filter(|((name, _), row)| {
                name == table && row.ver > since && (is_feed || row.value.is_some())
            })
            .collect();
        if is_feed {
            found.sort_by_key(|(_, row)| row.ver);
        }
        let list: Vec<_> = found
            .into_iter()
            .map(|((table, key), row)| {
                let rest = match &row.value {
                    Some(value) => format!("\"value\":{}", quote(value)),
                    None => "\"deleted\":true".to_owned(),
                };
                format!(
                    "{{\"table\":{},\"part\":\"\",\"key\":{},\"ver\":{},{rest}}}",
                    quote(table),
                    quote(key),
                    row.ver
                )
            })
            .collect();
        self.body(rows, &list)
    }

    fn body(&self, rows: &Rows, list: &[String]) -> String {
        format!(
            "{{\"rows\":[{}],\"hasMore\":false,\"ver\":{},\"nowMs\":{}}}",
            list.join(","),
            rows.ver,
            self.started.elapsed().as_millis()
        )
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let mut rows = self.lock();
        let key = |row: &Json| {
            (
                row.get("table").text().to_owned(),
                row.get("key").text().to_owned(),
            )
        };
        let expected = body.get("expectedRev").list();
        let present = |rows: &Rows, key: &(String, String)| {
            let row = rows.rows.get(key).filter(|row| row.value.is_some());
            row.map_or(0, |row| row.ver)
        };
        let holds = expected
            .iter()
            .all(|row| Some(present(&rows, &key(row)) as f64) == row.get("ver").number());
        let puts = body.get("puts").list();
        let removes = body.get("remove").list();
        let forbidden = |row: &Json| matches!(row.get("table").text(), "op" | "servers");
        if puts.iter().chain(removes).any(forbidden) {
            return (403, "{}".to_owned());
        }
        if !holds {
            let list: Vec<_> = expected
                .iter()
                .filter_map(|row| {
                    let (table, key) = key(row);
                    let row = rows.rows.get(&(table.clone(), key.clone()))?;
                    let value = row.value.as_deref()?;
                    Some(format!(
                        "{{\"table\":{},\"part\":\"\",\"key\":{},\"ver\":{},\"value\":{}}}",
                        quote(&table),
                        quote(&key),
                        row.ver,
                        quote(value)
                    ))
                })
                .collect();
            return (412, self.body(&rows, &list));
        }
        rows.ver += 1;
        let ver = rows.ver;
        for put in puts {
            let (table, name) = key(put);
            let value = put.get("value").text().to_owned();
            rows.written.push(Written {
                at: Instant::now(),
                table: table.clone(),
                key: name.clone(),
                value: String::from_utf8_lossy(&from_base64(&value)).into_owned(),
            });
            let value = Some(value);
            rows.rows.insert((table, name), Row { value, ver });
        }
        for remove in removes {
            rows.rows.insert(key(remove), Row { value: None, ver });
        }
        let body = self.body(&rows, &[]);
        drop(rows);
        self.changed.notify_all();
        (200, body)
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut index) = (Vec::new(), 0);
    while index < bytes.len() {
        let code = text.get(index + 1..index + 3);
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) if bytes[index] == b'%' => {
                out.push(byte);
                index += 3;
            }
            _ => {
                out.push(bytes[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

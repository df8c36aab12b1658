//! HTTP API of the table service.

use super::message::{Get, Put, Query, Remove, Transaction, Write};
use super::{Failure, Limiter, Settings, Store};
use crate::fault::{self, Injector};
use crate::{Error, serve};
use rocket::http::{ContentType, Status};
use rocket::request::{FromRequest, Outcome, Request};
use rocket::serde::json::Json;
use rocket::{State, get, post};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Maximum request size, as in DynamoDB.
const BODY_LIMIT_MIB: usize = 4;

/// Request counters of the service.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Stats {
    /// Number of `GetItem` and `Query` calls.
    pub reads: u64,
    /// Number of items in write calls, including condition checks.
    pub writes: u64,
    /// Number of write calls.
    pub write_calls: u64,
    /// Number of calls refused by a rate limit.
    pub throttled: u64,
    /// Number of calls affected by a fault.
    pub faulted: u64,
}

#[derive(Debug)]
struct Shared {
    inner: Mutex<Inner>,
    injector: Arc<Injector>,
}

#[derive(Debug)]
struct Inner {
    store: Store,
    stats: Stats,
    reads: Option<Limiter>,
    writes: Option<Limiter>,
}

/// A running table service; it stops when dropped.
#[derive(Debug)]
pub struct Server {
    server: serve::Server,
    shared: Arc<Shared>,
}

impl Server {
    /// Starts the service.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let server = standin::table::Server::start(Default::default()).await?;
    /// assert!(server.url().starts_with("http://127.0.0.1:"));
    /// # Ok::<(), standin::Error>(()) }).unwrap();
    /// ```
    pub async fn start(settings: Settings) -> Result<Self, Error> {
        let now = Instant::now();
        let limiter = |rate: Option<u32>| rate.map(|rate| Limiter::new(rate, now));
        let shared = Arc::new(Shared {
            inner: Mutex::new(Inner {
                store: Store::default(),
                stats: Stats::default(),
                reads: limiter(settings.reads_per_second),
                writes: limiter(settings.writes_per_second),
            }),
            injector: Arc::default(),
        });
        let rocket = serve::build()
            .manage(Arc::clone(&shared))
            .manage(Arc::clone(&shared.injector))
            .mount("/", rocket::routes![call, stats, dump])
            .mount("/", fault::routes());
        let server = serve::Server::start(rocket, settings.listen).await?;
        Ok(Self { server, shared })
    }

    /// Address the server is bound to.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Base URL.
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Fault injection for requests to the service.
    pub fn faults(&self) -> &Injector {
        &self.shared.injector
    }

    /// Returns a copy of the current rows.
    pub fn store(&self) -> Store {
        self.shared.lock().store.clone()
    }

    /// Executes a write directly, bypassing faults and rate limits. Returns whether it succeeded.
    pub fn write(&self, write: &Write) -> bool {
        self.shared.lock().store.write(write).is_ok()
    }

    /// Returns the request counters.
    pub fn stats(&self) -> Stats {
        self.shared.lock().stats
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn admit_read(&mut self, now: Instant) -> Result<(), Failure> {
        self.stats.reads += 1;
        let allowed = self
            .reads
            .as_mut()
            .is_none_or(|limiter| limiter.take(1, now));
        self.throttle(allowed)
    }

    fn admit_write(&mut self, rows: usize, now: Instant) -> Result<(), Failure> {
        self.stats.writes += rows as u64;
        self.stats.write_calls += 1;
        let allowed = self
            .writes
            .as_mut()
            .is_none_or(|limiter| limiter.take(rows, now));
        self.throttle(allowed)
    }

    fn throttle(&mut self, allowed: bool) -> Result<(), Failure> {
        if allowed {
            return Ok(());
        }
        self.stats.throttled += 1;
        Err(Failure::Throughput)
    }

    fn execute(&mut self, operation: &str, body: &str, now: Instant) -> Result<Value, Failure> {
        match operation {
            "GetItem" => {
                let get: Get = parse(body)?;
                self.admit_read(now)?;
                let row = self.store.get(&get.key)?;
                Ok(row.map_or_else(|| json!({}), |row| json!({ "Item": row })))
            }
            "Query" => {
                let query: Query = parse(body)?;
                self.admit_read(now)?;
                let page = self.store.query(&query)?;
                let mut answer = json!({ "Count": page.items.len(), "Items": page.items });
                if let Some(last) = page.last {
                    answer["LastEvaluatedKey"] = last.into();
                }
                Ok(answer)
            }
            "PutItem" => {
                let put: Put = parse(body)?;
                self.admit_write(1, now)?;
                self.store.write(&Write::Put(put)).map(|()| json!({}))
            }
            "DeleteItem" => {
                let remove: Remove = parse(body)?;
                self.admit_write(1, now)?;
                self.store.write(&Write::Delete(remove)).map(|()| json!({}))
            }
            "TransactWriteItems" => {
                let transaction: Transaction = parse(body)?;
                self.admit_write(transaction.transact_items.len(), now)?;
                self.store.transact(&transaction).map(|()| json!({}))
            }
            other => Err(Failure::Validation(format!("operation {other:?}"))),
        }
    }
}

/// Request guard: the operation named in the header `x-amz-target`, without the API version.
struct Operation(String);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Operation {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let target = request
            .headers()
            .get_one("x-amz-target")
            .unwrap_or_default();
        let name = target.rsplit('.').next().unwrap_or_default();
        Outcome::Success(Self(name.to_owned()))
    }
}

#[post("/", data = "<body>")]
async fn call(
    operation: Operation,
    body: rocket::Data<'_>,
    shared: &State<Arc<Shared>>,
) -> (Status, (ContentType, String)) {
    let limit = rocket::data::ToByteUnit::mebibytes(BODY_LIMIT_MIB);
    let body = body.open(limit).into_string().await;
    let body = body.map(|body| body.into_inner()).unwrap_or_default();
    let (status, answer) = match answer(&operation.0, &body, shared).await {
        Ok(answer) => (Status::Ok, answer),
        Err(failure) => (Status::new(failure.status()), failure.body()),
    };
    let kind = ContentType::new("application", "x-amz-json-1.0");
    (status, (kind, answer.to_string()))
}

async fn answer(operation: &str, body: &str, shared: &Shared) -> Result<Value, Failure> {
    let name = format!("{operation} {body}");
    let effect = shared.injector.apply(&name, Instant::now());
    if effect != fault::Effect::default() {
        shared.lock().stats.faulted += 1;
        tokio::time::sleep(effect.delay).await;
    }
    if effect.refuse {
        return Err(Failure::Unavailable);
    }
    let answer = shared.lock().execute(operation, body, Instant::now());
    if effect.lose {
        return Err(Failure::Internal);
    }
    answer
}

fn parse<'a, T: Deserialize<'a>>(body: &'a str) -> Result<T, Failure> {
    serde_json::from_str(body).map_err(|error| Failure::Validation(error.to_string()))
}

#[get("/stats")]
fn stats(shared: &State<Arc<Shared>>) -> Json<Stats> {
    Json(shared.lock().stats)
}

#[get("/rows?<prefix>")]
fn dump(prefix: Option<&str>, shared: &State<Arc<Shared>>) -> Json<Vec<super::Item>> {
    Json(shared.lock().store.partitions(prefix.unwrap_or_default()))
}

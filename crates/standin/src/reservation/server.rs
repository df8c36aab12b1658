//! HTTP API of the reservation service.

use crate::engine::Headers;
use crate::journal::Recorder;
use crate::serve::loopback;
use crate::{Error, serve};
use rocket::http::{ContentType, Status};
use rocket::{State, get, post};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

const BODY_LIMIT_KIB: usize = 64;

/// Settings of the reservation service.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to bind.
    pub listen: SocketAddr,
    /// Address recorded with each run, if it differs from the bound address.
    pub reported: Option<String>,
    /// Service name.
    pub service: String,
    /// Simulated latency of a request.
    pub latency: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: loopback(0),
            reported: None,
            service: "reservations".to_owned(),
            latency: Duration::from_millis(5),
        }
    }
}

#[derive(Debug)]
struct Shared {
    latency: Duration,
    recorder: Recorder,
    address: OnceLock<String>,
    bookings: Mutex<Vec<String>>,
    runs: Mutex<BTreeMap<String, u64>>,
}

/// A running reservation service; it stops when dropped.
#[derive(Debug)]
pub struct Server {
    server: serve::Server,
    shared: Arc<Shared>,
}

impl Server {
    /// Starts the service.
    pub async fn start(settings: Settings, recorder: Recorder) -> Result<Self, Error> {
        let reported = settings.reported.clone();
        let shared = Arc::new(Shared {
            latency: settings.latency,
            recorder,
            address: OnceLock::new(),
            bookings: Mutex::default(),
            runs: Mutex::default(),
        });
        let rocket = serve::build()
            .manage(Arc::clone(&shared))
            .mount("/", rocket::routes![read, book, health]);
        let server = serve::Server::start(rocket, settings.listen).await?;
        let _ = shared
            .address
            .set(reported.unwrap_or_else(|| server.address().to_string()));
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

    /// Returns the number of executed bookings per idempotency key.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        let runs = self.shared.runs.lock();
        runs.unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Shared {
    fn record(&self, headers: &Headers, subject: &str) {
        let backend = self.address.get().map(String::as_str).unwrap_or_default();
        let mut run = headers.run(backend, "service");
        subject.clone_into(&mut run.subject);
        self.recorder.record(run);
    }
}

#[get("/bookings/<id>")]
async fn read(
    id: usize,
    headers: Headers,
    shared: &State<Arc<Shared>>,
) -> Result<(ContentType, String), Status> {
    shared.record(&headers, &id.to_string());
    tokio::time::sleep(shared.latency).await;
    let bookings = shared
        .bookings
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let text = bookings.get(id).cloned().ok_or(Status::NotFound)?;
    let body = json!({ "id": id, "booking": text });
    Ok((ContentType::JSON, body.to_string()))
}

#[post("/bookings", data = "<body>")]
async fn book(
    body: rocket::Data<'_>,
    headers: Headers,
    shared: &State<Arc<Shared>>,
) -> (Status, (ContentType, String)) {
    let limit = rocket::data::ToByteUnit::kibibytes(BODY_LIMIT_KIB);
    let text = body.open(limit).into_string().await;
    let text = text.map(|text| text.into_inner()).unwrap_or_default();
    shared.record(&headers, &text);
    {
        let mut runs = shared.runs.lock().unwrap_or_else(PoisonError::into_inner);
        *runs.entry(headers.idempotency_key.clone()).or_default() += 1;
    }
    tokio::time::sleep(shared.latency).await;
    let mut bookings = shared
        .bookings
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let id = bookings.len();
    let body = json!({ "id": id, "confirmed": true, "booking": text });
    bookings.push(text);
    (Status::Created, (ContentType::JSON, body.to_string()))
}

#[get("/health")]
fn health() -> Status {
    Status::Ok
}

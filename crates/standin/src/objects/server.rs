//! HTTP API of the object store.

use crate::fault::{self, Injector};
use crate::serve::loopback;
use crate::{Error, serve};
use rocket::http::Status;
use rocket::request::{FromRequest, Outcome, Request};
use rocket::{State, get, put};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

const BODY_LIMIT_MIB: usize = 16;

/// Settings of the object store.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to bind.
    pub listen: SocketAddr,
}

impl Default for Settings {
    fn default() -> Self {
        let listen = loopback(0);
        Self { listen }
    }
}

#[derive(Debug, Default)]
struct Shared {
    objects: Mutex<BTreeMap<String, Vec<u8>>>,
    injector: Arc<Injector>,
}

/// A running object store; it stops when dropped.
#[derive(Debug)]
pub struct Server {
    server: serve::Server,
    shared: Arc<Shared>,
}

impl Server {
    /// Starts the store.
    pub async fn start(settings: Settings) -> Result<Self, Error> {
        let shared = Arc::new(Shared::default());
        let rocket = serve::build()
            .manage(Arc::clone(&shared))
            .manage(Arc::clone(&shared.injector))
            .mount("/", rocket::routes![read, write])
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

    /// Fault injection for requests to the store.
    pub fn faults(&self) -> &Injector {
        &self.shared.injector
    }

    /// Returns a copy of all objects, keyed by `bucket/key`.
    pub fn objects(&self) -> BTreeMap<String, Vec<u8>> {
        self.shared.lock().clone()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Vec<u8>>> {
        self.objects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn inject_fault(&self, operation: &str) -> fault::Effect {
        let effect = self.injector.apply(operation, Instant::now());
        tokio::time::sleep(effect.delay).await;
        effect
    }
}

/// Request guard: whether the write must not replace an existing object (`If-None-Match: *`).
struct CreateOnly(bool);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for CreateOnly {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let condition = request.headers().get_one("if-none-match");
        Outcome::Success(Self(condition == Some("*")))
    }
}

#[get("/<path..>", rank = 9)]
async fn read(path: PathBuf, shared: &State<Arc<Shared>>) -> Result<Vec<u8>, Status> {
    let key = path.to_string_lossy().into_owned();
    let effect = shared.inject_fault(&format!("GET {key}")).await;
    if effect.refuse || effect.lose {
        return Err(Status::ServiceUnavailable);
    }
    shared.lock().get(&key).cloned().ok_or(Status::NotFound)
}

#[put("/<path..>", data = "<body>")]
async fn write(
    path: PathBuf,
    create: CreateOnly,
    body: rocket::Data<'_>,
    shared: &State<Arc<Shared>>,
) -> Status {
    let key = path.to_string_lossy().into_owned();
    let effect = shared.inject_fault(&format!("PUT {key}")).await;
    if effect.refuse {
        return Status::ServiceUnavailable;
    }
    let limit = rocket::data::ToByteUnit::mebibytes(BODY_LIMIT_MIB);
    let Ok(body) = body.open(limit).into_bytes().await else {
        return Status::BadRequest;
    };
    let mut objects = shared.lock();
    if create.0 && objects.contains_key(&key) {
        return Status::PreconditionFailed;
    }
    objects.insert(key, body.into_inner());
    if effect.lose {
        return Status::InternalServerError;
    }
    Status::Ok
}

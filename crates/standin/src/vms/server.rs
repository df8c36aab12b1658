//! HTTP API of the VM list.

use super::{List, Target};
use crate::fault::{self, Injector};
use crate::serve::loopback;
use crate::{Error, serve};
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{State, delete, get, put};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Settings of the VM list server.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to bind.
    pub listen: SocketAddr,
    /// Delay before a change becomes visible to readers.
    pub lag: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: loopback(0),
            lag: Duration::ZERO,
        }
    }
}

#[derive(Debug)]
struct Shared {
    list: Mutex<List>,
    injector: Arc<Injector>,
}

/// A running VM list server; it stops when dropped.
#[derive(Debug)]
pub struct Server {
    server: serve::Server,
    shared: Arc<Shared>,
}

impl Server {
    /// Starts the server.
    pub async fn start(settings: Settings) -> Result<Self, Error> {
        let shared = Arc::new(Shared {
            list: Mutex::new(List::new(settings.lag)),
            injector: Arc::default(),
        });
        let rocket = serve::build()
            .manage(Arc::clone(&shared))
            .manage(Arc::clone(&shared.injector))
            .mount("/", rocket::routes![list, put_target, remove])
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

    /// Fault injection for requests to the list.
    pub fn faults(&self) -> &Injector {
        &self.shared.injector
    }

    /// Adds an entry, replacing any with the same addresses.
    pub fn put(&self, target: Target) {
        self.shared.lock().put(target, Instant::now());
    }

    /// Sets the state of an address to `live` or `leaving`.
    pub fn set_state(&self, address: &str, state: &str) {
        self.shared.lock().set_state(address, state, Instant::now());
    }

    /// Removes the entry that contains an address.
    pub fn remove(&self, address: &str) {
        self.shared.lock().remove(address, Instant::now());
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, List> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[get("/v1/vms")]
async fn list(shared: &State<Arc<Shared>>) -> Result<Json<Vec<Target>>, Status> {
    let effect = shared.injector.apply("GET vms", Instant::now());
    tokio::time::sleep(effect.delay).await;
    if effect.refuse || effect.lose {
        return Err(Status::ServiceUnavailable);
    }
    Ok(Json(shared.lock().visible(Instant::now()).to_vec()))
}

#[put("/admin/vms", data = "<target>")]
fn put_target(target: Json<Target>, shared: &State<Arc<Shared>>) {
    shared.lock().put(target.into_inner(), Instant::now());
}

#[delete("/admin/vms/<address>")]
fn remove(address: &str, shared: &State<Arc<Shared>>) {
    shared.lock().remove(address, Instant::now());
}

//! HTTP API of the journal.

use super::{Recorder, Run};
use crate::serve::loopback;
use crate::{Error, serve};
use rocket::serde::json::Json;
use rocket::{State, get, post};
use std::net::SocketAddr;

/// Settings of the journal.
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

/// A running journal server; it stops when dropped.
#[derive(Debug)]
pub struct Server {
    server: serve::Server,
    recorder: Recorder,
}

impl Server {
    /// Starts the server.
    pub async fn start(settings: Settings) -> Result<Self, Error> {
        let recorder = Recorder::default();
        let rocket = serve::build()
            .manage(recorder.clone())
            .mount("/", rocket::routes![list, add]);
        let server = serve::Server::start(rocket, settings.listen).await?;
        Ok(Self { server, recorder })
    }

    /// Address the server is bound to.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Base URL.
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Returns a recorder for backend servers in the same process.
    pub fn recorder(&self) -> Recorder {
        self.recorder.clone()
    }

    /// Returns all runs recorded so far.
    pub fn runs(&self) -> Vec<Run> {
        self.recorder.runs()
    }
}

#[get("/journal")]
fn list(recorder: &State<Recorder>) -> Json<Vec<Run>> {
    Json(recorder.runs())
}

#[post("/journal", data = "<runs>")]
fn add(runs: Json<Vec<Run>>, recorder: &State<Recorder>) {
    for run in runs.into_inner() {
        recorder.record(run);
    }
}

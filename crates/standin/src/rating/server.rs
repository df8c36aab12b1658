//! HTTP API of the rating service.

use super::{Answer, unit_hash};
use crate::fault::{self, Injector};
use crate::serve::loopback;
use crate::{Error, serve};
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{State, post, put};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Minimum score of a good answer.
const GOOD_SCORE: f64 = 0.5;

/// Settings of the rating service.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to bind.
    pub listen: SocketAddr,
    /// Simulated latency of a rating.
    pub latency: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: loopback(0),
            latency: Duration::from_millis(5),
        }
    }
}

/// Fraction of good answers of a version for a task. Overrides the quality stated in the answer.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Quality {
    /// `model@version`.
    pub version: String,
    /// Task; if unset, the quality applies to every task without one of its own.
    #[serde(default)]
    pub task: Option<String>,
    /// Fraction of good answers; if unset, the override is removed.
    pub quality: Option<f64>,
}

#[derive(Debug)]
struct Shared {
    latency: Duration,
    qualities: Mutex<FxHashMap<(String, Option<String>), f64>>,
    injector: Arc<Injector>,
}

/// A running rating service; it stops when dropped.
#[derive(Debug)]
pub struct Server {
    server: serve::Server,
    shared: Arc<Shared>,
}

#[derive(Debug, Deserialize)]
struct Score {
    model: String,
    text_1: String,
    text_2: String,
}

impl Server {
    /// Starts the service.
    pub async fn start(settings: Settings) -> Result<Self, Error> {
        let shared = Arc::new(Shared {
            latency: settings.latency,
            qualities: Mutex::default(),
            injector: Arc::default(),
        });
        let rocket = serve::build()
            .manage(Arc::clone(&shared))
            .manage(Arc::clone(&shared.injector))
            .mount("/", rocket::routes![score, set_quality])
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

    /// Sets or removes the quality of a version for a task.
    pub fn set(&self, quality: Quality) {
        self.shared.set(quality);
    }
}

impl Shared {
    fn set(&self, quality: Quality) {
        let mut qualities = self
            .qualities
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let key = (quality.version, quality.task);
        match quality.quality {
            Some(share) => qualities.insert(key, share),
            None => qualities.remove(&key),
        };
    }

    fn quality(&self, answer: &Answer, task: &str) -> f64 {
        let qualities = self
            .qualities
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let configured = |task: Option<&str>| {
            let key = (answer.served.clone(), task.map(str::to_owned));
            qualities.get(&key).copied()
        };
        configured(Some(task))
            .or_else(|| configured(None))
            .unwrap_or(answer.quality)
    }

    fn score(&self, score: &Score) -> f64 {
        let Ok(answer) = score.text_2.parse::<Answer>() else {
            return 0.0;
        };
        let drawn = unit_hash(&[&answer.served, &score.model, &score.text_1]);
        let quality = self.quality(&answer, &score.model);
        if drawn < quality {
            GOOD_SCORE + (1.0 - GOOD_SCORE) * (1.0 - drawn)
        } else {
            GOOD_SCORE * (1.0 - drawn)
        }
    }
}

#[post("/score", data = "<score>")]
async fn score(score: Json<Score>, shared: &State<Arc<Shared>>) -> Result<Json<Value>, Status> {
    let effect = shared.injector.apply(&score.model, Instant::now());
    tokio::time::sleep(effect.delay + shared.latency).await;
    if effect.refuse || effect.lose {
        return Err(Status::ServiceUnavailable);
    }
    let value = shared.score(&score);
    Ok(Json(json!({
        "object": "list",
        "model": score.model,
        "data": [{ "index": 0, "object": "score", "score": value }],
    })))
}

#[put("/quality", data = "<quality>")]
fn set_quality(quality: Json<Quality>, shared: &State<Arc<Shared>>) {
    shared.set(quality.into_inner());
}

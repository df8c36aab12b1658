//! HTTP face of an engine.

use super::call::{Completion, Headers};
use super::run::{Refusal, Shared};
use super::{Counters, Order, Settings, stream};
use crate::journal::Recorder;
use crate::proxy::{self, Proxy};
use crate::serve::loopback;
use crate::{Error, serve};
use rocket::http::{ContentType, Status};
use rocket::response::stream::TextStream;
use rocket::serde::json::Json;
use rocket::{Either, State, get, post};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

const BODY_LIMIT_MIB: usize = 8;

/// A running engine.
#[derive(Debug)]
pub struct Server {
    server: serve::Server,
    shared: Arc<Shared>,
}

type Reply = (Status, (ContentType, Either<String, Events>));
type Events = TextStream<std::pin::Pin<Box<dyn futures::Stream<Item = String> + Send>>>;

impl Server {
    /// Starts an engine.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let engine = standin::engine::Server::start(Default::default(), Default::default()).await?;
    /// let models = reqwest::get(format!("{}/v1/models", engine.url())).await?.text().await?;
    /// assert!(models.contains("small@1"));
    /// # Ok::<(), standin::Error>(()) }).unwrap();
    /// ```
    pub async fn start(settings: Settings, recorder: Recorder) -> Result<Self, Error> {
        let listen = settings.listen;
        let fallible = settings.fallible;
        let reported = settings.reported.clone();
        let shared = Arc::new(Shared::new(settings, recorder));
        let rocket = serve::build().manage(Arc::clone(&shared)).mount(
            "/",
            rocket::routes![complete, models, health, metrics, order, counters],
        );
        let inner = if fallible { loopback(0) } else { listen };
        let server = serve::Server::start(rocket, inner).await?;
        let mut address = server.address();
        if fallible {
            let settings = proxy::Settings {
                listen,
                ..proxy::Settings::default()
            };
            let front = Proxy::start(address, settings).await?;
            address = front.address();
            let _ = shared.front.set(front);
        }
        let _ = shared
            .address
            .set(reported.unwrap_or_else(|| address.to_string()));
        Ok(Self { server, shared })
    }

    /// Address to connect to.
    pub fn address(&self) -> SocketAddr {
        let front = self.shared.front.get();
        front.map_or_else(|| self.server.address(), Proxy::address)
    }

    /// Base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Proxy before the engine, unless it was started without one.
    pub fn front(&self) -> Option<&Proxy> {
        self.shared.front.get()
    }

    /// Changes the engine.
    pub fn order(&self, order: Order) {
        self.shared.order(order);
    }

    /// Counts so far.
    pub fn counters(&self) -> Counters {
        self.shared.counters()
    }

    /// Whether the engine is cold.
    pub fn is_cold(&self) -> bool {
        self.shared.is_cold()
    }
}

#[post("/v1/chat/completions", data = "<body>")]
async fn complete(headers: Headers, body: rocket::Data<'_>, shared: &State<Arc<Shared>>) -> Reply {
    let limit = rocket::data::ToByteUnit::mebibytes(BODY_LIMIT_MIB);
    let body = body.open(limit).into_string().await;
    let body = body.map(|body| body.into_inner()).unwrap_or_default();
    let call: Completion = match serde_json::from_str(&body) {
        Ok(call) => call,
        Err(error) => return failure(Status::BadRequest, &error.to_string()),
    };
    let job = match shared.admit(&call, &headers).await {
        Ok(job) => job,
        Err(refusal) => {
            if refusal == Refusal::Fallen {
                // A process that died answers nothing: the proxy cuts the connection meanwhile.
                tokio::time::sleep(shared.settings.recovery).await;
            }
            return refuse(refusal);
        }
    };
    let id = format!("chatcmpl-{}", headers.request_id);
    if call.stream {
        let events = stream::events(job, id, call.include_usage());
        let events: Events = TextStream(Box::pin(events));
        let kind = ContentType::new("text", "event-stream");
        return (Status::Ok, (kind, Either::Right(events)));
    }
    let body = stream::whole(job, &id).await;
    (
        Status::Ok,
        (ContentType::JSON, Either::Left(body.to_string())),
    )
}

fn refuse(refusal: Refusal) -> Reply {
    match refusal {
        Refusal::Overloaded => failure(Status::ServiceUnavailable, "overloaded"),
        Refusal::Model => failure(Status::NotFound, "model isn't served"),
        Refusal::Fenced => failure(Status::PreconditionFailed, "old fencing number"),
        Refusal::Fallen => failure(Status::InternalServerError, "engine failed"),
    }
}

fn failure(status: Status, message: &str) -> Reply {
    let body = json!({ "error": { "code": status.code, "message": message } });
    (status, (ContentType::JSON, Either::Left(body.to_string())))
}

#[get("/v1/models")]
fn models(shared: &State<Arc<Shared>>) -> Json<Value> {
    let model = json!({ "id": shared.served(), "object": "model", "owned_by": "standin" });
    Json(json!({ "object": "list", "data": [model] }))
}

#[get("/health")]
fn health() -> Status {
    Status::Ok
}

#[get("/metrics")]
fn metrics(shared: &State<Arc<Shared>>) -> String {
    let (running, waiting) = shared.report(Instant::now());
    let label = format!("{{model_name=\"{}\"}}", shared.served());
    format!(
        "vllm:num_requests_running{label} {running}\nvllm:num_requests_waiting{label} {waiting}\n"
    )
}

#[post("/admin/order", data = "<order>")]
fn order(order: Json<Order>, shared: &State<Arc<Shared>>) {
    shared.order(order.into_inner());
}

#[get("/admin/counters")]
fn counters(shared: &State<Arc<Shared>>) -> Json<Counters> {
    Json(shared.counters())
}

//! A request on its way.

use super::headers::{number, strip_hop_by_hop, text, remaining_time};
use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, Uri};
use limits::suspect::Fingerprint;
use platform::header;
use route::ServerId;
use route::config::{Customer, Route};
use route::pool::{Work, part_id};
use rustc_hash::FxBuildHasher;
use std::hash::BuildHasher;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Part of the time left that is kept for the way back to the caller.
const WAY_BACK: Duration = Duration::from_millis(20);

/// The least urgent that engines know.
const LEAST_URGENT: u8 = 9;
/// Bytes of the heads of a request and its answer, roughly.
const HEAD_BYTES: f64 = 1200.0;
/// Bytes of a token of an answer on the wire, roughly.
const TOKEN_BYTES: f64 = 10.0;

/// A request on its way: what was received, and what has become of it.
#[derive(Debug)]
pub struct Job {
    /// Id of the caller's attempt.
    pub id: Option<HeaderValue>,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Headers that go on.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// The route that takes it.
    pub route: Arc<Route>,
    /// The service that is to run it.
    pub service: String,
    /// What it makes an engine read and write.
    pub work: Work,
    /// The model that is to answer, where the caller leaves the choice open, with its pace.
    pub model: Option<(String, f64)>,
    /// What it has in common with the same request of the same customer sent again.
    pub fingerprint: Fingerprint,
    /// Session that it belongs to.
    pub session: Option<String>,
    /// When it was received.
    pub received: Instant,
    /// When nobody waits for an answer any more.
    pub limit: Instant,
    /// Backend servers that had it.
    pub tried: Vec<ServerId>,
    /// Sends so far that reached a backend server.
    pub sends: u32,
    /// Whether a further send was taken out of the budget and reached no backend server.
    pub paid: bool,
    /// Whether a backend server may have run it.
    pub ran: bool,
    /// Number of the last event that the caller has.
    pub last_event: Option<u64>,
}

impl Job {
    /// A request as it was received, with its route and customer.
    pub fn new(
        received: Instant,
        parts: hyper::http::request::Parts,
        body: Bytes,
        route: Arc<Route>,
        customer: Option<&Customer>,
    ) -> Self {
        let mut headers = parts.headers;
        let time = remaining_time(&headers).map_or(route.timeout, |left| left.min(route.timeout));
        let work = work(&headers, body.len());
        let session = text(&headers, header::SESSION).map(str::to_owned);
        let id = headers.get(header::ATTEMPT).cloned();
        let last_event = number(&headers, header::LAST_EVENT).map(|number| number as u64);
        let fingerprint = fingerprint(
            &parts.uri,
            &body,
            customer.map(|customer| customer.name.as_str()),
        );
        strip_hop_by_hop(&mut headers);
        for name in header::RESERVED {
            headers.remove(*name);
        }
        let name = customer.map(|customer| HeaderValue::from_str(&customer.name));
        if let Some(Ok(name)) = name {
            headers.insert(HeaderName::from_static(header::CUSTOMER), name);
        }
        if route.kind.is_stream() {
            let urgency = customer.and_then(|customer| customer.priority);
            let urgency = urgency.unwrap_or(route.priority).min(LEAST_URGENT);
            headers.insert(
                HeaderName::from_static(header::URGENCY),
                u16::from(urgency).into(),
            );
        }
        Self {
            id,
            method: parts.method,
            uri: parts.uri,
            headers,
            body,
            service: String::new(),
            work,
            model: None,
            fingerprint,
            session,
            received,
            limit: received + time.saturating_sub(WAY_BACK),
            tried: Vec::new(),
            sends: 0,
            paid: false,
            ran: false,
            last_event,
            route,
        }
    }

    /// Id of the caller's attempt, for logs.
    pub fn name(&self) -> &str {
        let id = self.id.as_ref();
        id.and_then(|id| id.to_str().ok()).unwrap_or("-")
    }

    /// Time until nobody waits for an answer any more.
    pub fn left(&self) -> Duration {
        self.limit.saturating_duration_since(Instant::now())
    }

    /// Whether the caller leaves the choice of the model open.
    pub fn any_model(&self) -> bool {
        text(&self.headers, header::MODEL) == Some(header::ANY_MODEL)
    }

    /// The request for a backend server.
    pub fn request(
        &self,
        now: Instant,
        server: &str,
    ) -> hyper::Request<http_body_util::Full<Bytes>> {
        let mut request = hyper::Request::new(http_body_util::Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        let left = self.limit.saturating_duration_since(now).as_millis();
        let mut set = |name, value: String| {
            if let Ok(value) = HeaderValue::from_str(&value) {
                headers.insert(HeaderName::from_static(name), value);
            }
        };
        set(header::TIME_LEFT_MS, left.to_string());
        set(header::MEANT_SERVER, server.to_owned());
        if let Some((model, _)) = &self.model {
            set(header::MODEL, model.clone());
        }
        if let Some(event) = self.last_event {
            set(header::LAST_EVENT, event.to_string());
        }
        request
    }
}

/// Digest of a customer, a path and a body.
fn fingerprint(uri: &Uri, body: &[u8], customer: Option<&str>) -> Fingerprint {
    let hash = FxBuildHasher.hash_one((uri.path(), body, customer));
    format!("{hash:016x}")
}

/// What a request makes an engine read and write, from its headers.
fn work(headers: &HeaderMap, body: usize) -> Work {
    let tokens = text(headers, header::TOKENS).unwrap_or_default();
    let (prompt, most) = tokens.split_once(',').unwrap_or((tokens, ""));
    let most = most.trim().parse().unwrap_or(0.0);
    let parts = text(headers, header::PROMPT_PARTS).unwrap_or_default();
    let parts = parts.split(',').filter_map(|part| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some((part_id(id), tokens.parse().ok()?))
    });
    let output = number(headers, header::EXPECTED_TOKENS).unwrap_or(most);
    let bytes = body as f64 + HEAD_BYTES + output * TOKEN_BYTES;
    Work {
        parts: parts.collect(),
        prompt: prompt.trim().parse().unwrap_or(0.0),
        output,
        kilobytes: bytes / 1e3,
    }
}

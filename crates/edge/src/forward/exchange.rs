//! A request and the state of its forwarding.

use super::headers::{number, remaining_time, strip_hop_by_hop, text};
use crate::closer::Closer;
use crate::memory::Charge;
use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, Uri};
use limits::suspect::Fingerprint;
use platform::header;
use route::ServerId;
use route::config::{Customer, Route};
use route::pool::{Work, name_hash};
use rustc_hash::FxBuildHasher;
use std::hash::BuildHasher;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Part of the remaining time that is reserved for returning the response to the caller.
const RETURN_MARGIN: Duration = Duration::from_millis(20);

/// Lowest urgency that engines support.
const LOWEST_URGENCY: u8 = 9;
/// Approximate size of the heads of a request and its response, in bytes.
const HEAD_BYTES: f64 = 1200.0;
/// Approximate size of a response token on the wire, in bytes.
const TOKEN_BYTES: f64 = 10.0;

/// A model chosen by the node.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Name of the model.
    pub name: String,
    /// Its time in relation to a medium-sized model.
    pub time: f64,
}

/// An answer that was judged.
#[derive(Clone, Debug, PartialEq)]
pub struct Judged {
    /// Name of the model.
    pub model: String,
    /// Its confidence.
    pub confidence: f64,
}

/// A request as it was received, and the state of its forwarding.
#[derive(Debug)]
pub struct Exchange {
    /// Request id that the caller set.
    pub request_id: Option<HeaderValue>,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers that are forwarded.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Memory of the body.
    _charge: Charge,
    /// The matching route.
    pub route: Arc<Route>,
    /// The service that the request is sent to.
    pub service: String,
    /// Tokens that an engine has to process for it.
    pub work: Work,
    /// The model chosen by the node, where the caller allows any.
    pub model: Option<Choice>,
    /// The last answer that was judged.
    pub judged: Option<Judged>,
    /// Digest that is the same when the same customer sends the same request again.
    pub fingerprint: Fingerprint,
    /// Session of the request.
    pub session: Option<String>,
    /// When it was received.
    pub received: Instant,
    /// Time after which nobody waits for the response.
    pub deadline: Instant,
    /// Backend servers that the request was sent to.
    pub tried_servers: Vec<ServerId>,
    /// Number of attempts that reached a backend server.
    pub attempts: u32,
    /// Whether a retry was taken from the budget but hasn't reached a backend server.
    pub retry_granted: bool,
    /// Whether a backend server may have run the request.
    pub may_have_run: bool,
    /// Whether the request finds out if a part of its prompt crashes backend servers: it is sent once, as
    /// long as its answer hasn't begun.
    pub is_probe: bool,
    /// Id of the last event that the caller has received.
    pub last_event_id: Option<u64>,
    /// Closes the connection of the caller.
    pub closer: Closer,
}

impl Exchange {
    /// Creates the state for a received request with its route and customer.
    pub fn new(
        received: Instant,
        parts: hyper::http::request::Parts,
        (body, charge): (Bytes, Charge),
        route: Arc<Route>,
        customer: Option<&Customer>,
    ) -> Self {
        let mut headers = parts.headers;
        let closer = parts.extensions.get::<Closer>().cloned();
        let time = remaining_time(&headers).map_or(route.timeout, |left| left.min(route.timeout));
        let work = work(&headers, body.len());
        let session = text(&headers, header::SESSION).map(str::to_owned);
        let request_id = headers.get(header::ATTEMPT).cloned();
        let last_event_id = number(&headers, header::LAST_EVENT).map(|number| number as u64);
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
            let urgency = urgency.unwrap_or(route.priority).min(LOWEST_URGENCY);
            headers.insert(
                HeaderName::from_static(header::PRIORITY),
                u16::from(urgency).into(),
            );
        }
        Self {
            request_id,
            method: parts.method,
            uri: parts.uri,
            headers,
            body,
            _charge: charge,
            service: String::new(),
            work,
            model: None,
            judged: None,
            fingerprint,
            session,
            received,
            deadline: received + time.saturating_sub(RETURN_MARGIN),
            tried_servers: Vec::new(),
            attempts: 0,
            retry_granted: false,
            may_have_run: false,
            is_probe: false,
            last_event_id,
            closer: closer.unwrap_or_default(),
            route,
        }
    }

    /// Request id, for logs.
    pub fn log_id(&self) -> &str {
        let id = self.request_id.as_ref();
        id.and_then(|id| id.to_str().ok()).unwrap_or("-")
    }

    /// Time until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Time until the target latency of the route, or until the deadline if it has none.
    pub fn target_left(&self) -> Duration {
        match self.route.target_latency {
            Duration::ZERO => self.remaining(),
            target => target.saturating_sub(self.received.elapsed()),
        }
    }

    /// Number of backend servers that the request may be sent to.
    pub fn max_attempts(&self) -> u32 {
        match self.is_probe {
            true => 1,
            false => self.route.max_attempts.max(1),
        }
    }

    /// Whether the request may be sent to a further backend server, though one may have run it.
    pub fn is_repeatable(&self) -> bool {
        self.attempts < self.max_attempts() && self.route.kind.is_retryable()
    }

    /// Whether the caller leaves the choice of the model to the node.
    pub fn allows_any_model(&self) -> bool {
        text(&self.headers, header::MODEL) == Some(header::ANY_MODEL)
    }

    /// Builds the request for a backend server.
    pub fn upstream_request(
        &self,
        now: Instant,
        server: &str,
    ) -> hyper::Request<http_body_util::Full<Bytes>> {
        let mut request = hyper::Request::new(http_body_util::Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        let remaining = self.deadline.saturating_duration_since(now).as_millis();
        let mut set = |name, value: String| {
            if let Ok(value) = HeaderValue::from_str(&value) {
                headers.insert(HeaderName::from_static(name), value);
            }
        };
        set(header::TIME_LEFT_MS, remaining.to_string());
        set(header::TARGET_SERVER, server.to_owned());
        if let Some(model) = &self.model {
            set(header::MODEL, model.name.clone());
        }
        if let Some(id) = self.last_event_id {
            set(header::LAST_EVENT, id.to_string());
        }
        request
    }
}

/// Digest of a customer, a path and a body.
fn fingerprint(uri: &Uri, body: &[u8], customer: Option<&str>) -> Fingerprint {
    let hash = FxBuildHasher.hash_one((uri.path(), body, customer));
    format!("{hash:016x}")
}

/// Tokens that an engine has to process for a request, from its headers.
fn work(headers: &HeaderMap, body_bytes: usize) -> Work {
    let tokens = text(headers, header::TOKENS).unwrap_or_default();
    let (prompt, max_output) = tokens.split_once(',').unwrap_or((tokens, ""));
    let max_output = max_output.trim().parse().unwrap_or(0.0);
    let parts = text(headers, header::PROMPT_PARTS).unwrap_or_default();
    let parts = parts.split(',').filter_map(|part| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some((name_hash(id), tokens.parse().ok()?))
    });
    let output = number(headers, header::EXPECTED_TOKENS).unwrap_or(max_output);
    let bytes = body_bytes as f64 + HEAD_BYTES + output * TOKEN_BYTES;
    Work {
        parts: parts.collect(),
        prompt_tokens: prompt.trim().parse().unwrap_or(0.0),
        output_tokens: output,
        kilobytes: bytes / 1e3,
    }
}

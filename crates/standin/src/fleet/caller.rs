//! A caller that writes down what it gets.

use super::Log;
use crate::history::{Outcome, Ran, Request, Target};
use crate::serve::unix_ms;
use reqwest::{Client, RequestBuilder, Response};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);
/// Longest silence of a connection.
const READ_TIMEOUT: Duration = Duration::from_secs(6);
const SESSION: &str = "x-sardinebank-session";

/// A node as callers know it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Name, which only the test knows.
    pub node: String,
    /// Base URL.
    pub url: String,
}

/// A session that a caller holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Session {
    /// Number by which the test knows it.
    pub number: u64,
    /// Token, once the first answer has come.
    pub token: Option<String>,
}

/// A chat completion to ask for.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Customer.
    pub customer: String,
    /// Model, version or task.
    pub model: String,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Text that no other attempt sends.
    pub prompt: String,
    /// Session to go on with.
    pub session: Option<Session>,
}

/// A call of the reservation service.
#[derive(Clone, Debug)]
pub struct Call {
    /// Customer.
    pub customer: String,
    /// Idempotency key of a confirmation; none looks a booking up.
    pub key: Option<String>,
    /// Text of the booking, or its number.
    pub subject: String,
}

/// A caller with a connection pool of its own.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client,
    log: Arc<Log>,
}

/// What an answer said besides its outcome.
#[derive(Debug, Default)]
struct Told {
    request_id: Option<String>,
    served: Option<String>,
    session: Option<String>,
}

impl Caller {
    /// A caller that writes into a log.
    pub fn new(log: Arc<Log>) -> Self {
        let client = Client::builder()
            .timeout(TIMEOUT)
            .read_timeout(READ_TIMEOUT)
            .build();
        let client = client.unwrap_or_default();
        Self { client, log }
    }

    /// Asks a node for a completion. The session goes on with what the answer says.
    pub async fn chat(&self, entry: &Entry, ask: &mut Ask) -> Request {
        let body = json!({
            "model": ask.model,
            "stream": ask.stream,
            "stream_options": if ask.stream { json!({ "include_usage": true }) } else { Value::Null },
            "messages": [{ "role": "user", "content": ask.prompt }],
        });
        let url = format!("{}/v1/chat/completions", entry.url);
        let mut call = self
            .client
            .post(url)
            .bearer_auth(format!("{}-key", ask.customer));
        if let Some(token) = ask
            .session
            .as_ref()
            .and_then(|session| session.token.as_ref())
        {
            call = call.header(SESSION, token);
        }
        let sent_ms = unix_ms();
        let (outcome, told) = exchange(call.json(&body), ask.stream).await;
        if let (Some(session), Outcome::Whole(_)) = (&mut ask.session, &outcome) {
            session.token = told.session.or(session.token.take());
        }
        let request = Request {
            customer: ask.customer.clone(),
            node: entry.node.clone(),
            target: Target::Chat {
                model: ask.model.clone(),
                stream: ask.stream,
            },
            subject: ask.prompt.clone(),
            session: ask.session.as_ref().map(|session| session.number),
            sent_ms,
            ended_ms: unix_ms(),
            request_id: told.request_id,
            served: told.served,
            outcome,
        };
        self.log.request(request.clone());
        request
    }

    /// Calls the reservation service through a node.
    pub async fn call(&self, entry: &Entry, call: &Call) -> Request {
        let base = format!("{}/v1/services/reservations/bookings", entry.url);
        let (request, target) = match &call.key {
            Some(key) => {
                let request = self.client.post(base).header("idempotency-key", key);
                let target = Target::Confirmation { key: key.clone() };
                (request.body(call.subject.clone()), target)
            }
            None => (
                self.client.get(format!("{base}/{}", call.subject)),
                Target::Lookup,
            ),
        };
        let sent_ms = unix_ms();
        let request = request.bearer_auth(format!("{}-key", call.customer));
        let (outcome, told) = exchange(request, false).await;
        let request = Request {
            customer: call.customer.clone(),
            node: entry.node.clone(),
            target,
            subject: call.subject.clone(),
            session: None,
            sent_ms,
            ended_ms: unix_ms(),
            request_id: told.request_id,
            served: None,
            outcome,
        };
        self.log.request(request.clone());
        request
    }
}

async fn exchange(call: RequestBuilder, stream: bool) -> (Outcome, Told) {
    let response = match call.send().await {
        Ok(response) => response,
        Err(error) => return (failure(&error), Told::default()),
    };
    let told = told(&response);
    let status = response.status().as_u16();
    let outcome = match response.text().await {
        Err(error) => failure(&error),
        Ok(text) if stream && status == 200 => streamed(&text),
        Ok(text) => whole(status, &text),
    };
    (outcome, told)
}

fn told(response: &Response) -> Told {
    let header = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let served = header("x-sardinebank-model").zip(header("x-sardinebank-version"));
    Told {
        request_id: header("x-request-id"),
        served: served.map(|(model, version)| format!("{model}@{version}")),
        session: header(SESSION),
    }
}

fn failure(error: &reqwest::Error) -> Outcome {
    if error.is_connect() {
        return Outcome::Unreached;
    }
    if error.is_timeout() {
        return Outcome::TimedOut;
    }
    Outcome::Broken(format!("{error:?}"))
}

fn whole(status: u16, text: &str) -> Outcome {
    let body: Value = serde_json::from_str(text).unwrap_or_default();
    if let Some(refused) = refusal(&body) {
        return refused;
    }
    if let Some(content) = body["choices"][0]["message"]["content"].as_str() {
        return Outcome::Whole(content.to_owned());
    }
    // Replies of plain services pass through as they are, refusals included.
    if !text.contains("\"error\"") && status < 500 {
        return Outcome::Whole(text.to_owned());
    }
    Outcome::Broken(format!("status {status}: {text:?}"))
}

fn streamed(text: &str) -> Outcome {
    let mut content = String::new();
    for data in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            return Outcome::Whole(content);
        }
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        if let Some(refused) = refusal(&event) {
            return refused;
        }
        let delta = &event["choices"][0]["delta"]["content"];
        content.push_str(delta.as_str().unwrap_or_default());
    }
    Outcome::Broken(format!(
        "stream ended without [DONE] after {} bytes",
        text.len()
    ))
}

fn refusal(body: &Value) -> Option<Outcome> {
    let error = body.get("error")?;
    let ran = match error["ran"].as_str()? {
        "no" => Ran::No,
        "yes" => Ran::Yes,
        "unknown" => Ran::Unknown,
        _ => return None,
    };
    let code = error["code"].as_str()?.to_owned();
    Some(Outcome::Refused { code, ran })
}

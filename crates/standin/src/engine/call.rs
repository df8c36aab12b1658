//! The part of a chat completion request that the engine reads.

use crate::journal::Run;
use crate::serve::unix_ms;
use rocket::request::{FromRequest, Outcome, Request};
use serde::Deserialize;
use serde_json::Value;

/// Body of a chat completion request.
#[derive(Clone, Debug, Deserialize)]
pub struct Completion {
    /// Model asked for.
    pub model: String,
    /// The conversation.
    pub messages: Vec<Message>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Options of a streamed answer.
    #[serde(default)]
    pub stream_options: Option<StreamOptions>,
    /// Most tokens in the answer.
    #[serde(default, alias = "max_completion_tokens")]
    pub max_tokens: Option<usize>,
    /// Lower goes first.
    #[serde(default)]
    pub priority: i64,
}

/// Options of a streamed answer.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct StreamOptions {
    /// Whether the last piece tells the usage.
    #[serde(default)]
    pub include_usage: bool,
}

/// One message of a conversation.
#[derive(Clone, Debug, Deserialize)]
pub struct Message {
    /// Its text, or parts in place of it.
    #[serde(default)]
    pub content: Value,
}

impl Completion {
    /// All text of the conversation.
    pub fn prompt(&self) -> String {
        let texts: Vec<_> = self.messages.iter().map(Message::text).collect();
        texts.join("\n")
    }

    /// Text of the last message.
    pub fn question(&self) -> String {
        self.messages.last().map(Message::text).unwrap_or_default()
    }

    /// Whether a streamed answer tells its usage.
    pub fn include_usage(&self) -> bool {
        self.stream_options
            .is_some_and(|options| options.include_usage)
    }
}

impl Message {
    fn text(&self) -> String {
        match &self.content {
            Value::String(text) => text.clone(),
            Value::Array(parts) => parts
                .iter()
                .filter_map(|part| part["text"].as_str())
                .collect(),
            _ => String::new(),
        }
    }
}

/// Headers that nodes send to backend servers.
#[derive(Clone, Debug, Default)]
pub struct Headers {
    /// Request id.
    pub request_id: String,
    /// Customer.
    pub customer: String,
    /// Idempotency key.
    pub idempotency_key: String,
    /// Fencing number.
    pub fence: Option<u64>,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Headers {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let text = |name: &str| {
            let value = request.headers().get_one(name);
            value.unwrap_or_default().to_owned()
        };
        Outcome::Success(Self {
            request_id: text("x-request-id"),
            customer: text("x-sardinebank-customer"),
            idempotency_key: text("idempotency-key"),
            fence: text("x-fencing-token").parse().ok(),
        })
    }
}

impl Headers {
    /// The run that begins now.
    pub fn run(&self, backend: &str, kind: &str) -> Run {
        Run {
            backend: backend.to_owned(),
            kind: kind.to_owned(),
            request_id: self.request_id.clone(),
            idempotency_key: self.idempotency_key.clone(),
            customer: self.customer.clone(),
            at_ms: unix_ms(),
            ..Run::default()
        }
    }
}

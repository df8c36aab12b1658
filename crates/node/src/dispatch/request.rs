//! Parsing of chat requests.

use crate::Error;
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use bytes::Bytes;
use serde_json::{Map, Value, json};
use sha2::{Digest, Sha256};

/// Estimated bytes per token, used until an engine has counted the tokens.
const BYTES_PER_TOKEN: usize = 4;

/// A parsed chat request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Name of a model or task, or `model@version`.
    pub target: String,
    /// Whether the answer is streamed as server-sent events.
    pub stream: bool,
    /// Whether the stream ends with an event of token counts.
    pub include_usage: bool,
    /// Concatenated text of all messages.
    pub prompt: String,
    /// Maximum answer length in tokens that the caller set.
    pub max_tokens: Option<u64>,
    body: Map<String, Value>,
}

impl Request {
    /// Parses the body of a request.
    ///
    /// ```
    /// let request = node::dispatch::Request::parse(
    ///     br#"{"model":"tag","messages":[{"role":"user","content":"Hello"}]}"#)?;
    /// assert_eq!(request.target, "tag");
    /// assert_eq!(request.prompt, "Hello");
    /// # Ok::<(), node::Error>(())
    /// ```
    pub fn parse(bytes: &[u8]) -> Result<Self, Error> {
        let body: Map<String, Value> =
            serde_json::from_slice(bytes).map_err(|error| Error::Malformed(error.to_string()))?;
        let target = required_string(&body, "model")?.to_owned();
        let messages = body
            .get("messages")
            .and_then(Value::as_array)
            .filter(|messages| !messages.is_empty())
            .ok_or_else(|| Error::Malformed("`messages` must be a list of messages".into()))?;
        let prompt = messages
            .iter()
            .map(message_text)
            .collect::<Result<Vec<_>, _>>()?
            .join("\n");
        let include_usage = body
            .get("stream_options")
            .and_then(|options| options.get("include_usage"))
            .and_then(Value::as_bool)
            .unwrap_or(false);
        Ok(Self {
            target,
            stream: optional_bool(&body, "stream")?,
            include_usage,
            prompt,
            max_tokens: max_tokens(&body)?,
            body,
        })
    }

    /// Body of the request to an engine. Engines always stream and report token counts.
    pub fn engine_body(&self, model: &str, priority: u8, max_tokens: u64) -> Bytes {
        let mut body = self.body.clone();
        body.insert("model".into(), json!(model));
        body.insert("stream".into(), json!(true));
        body.insert("stream_options".into(), json!({ "include_usage": true }));
        body.insert("priority".into(), json!(priority));
        body.remove("max_completion_tokens");
        body.insert("max_tokens".into(), json!(max_tokens));
        serde_json::to_vec(&body).unwrap_or_default().into()
    }

    /// Digest that identifies repetitions of a request by the same customer.
    pub fn fingerprint(&self, customer: &str) -> String {
        let mut digest = Sha256::new();
        digest.update(customer.as_bytes());
        digest.update([0]);
        digest.update(serde_json::to_vec(&self.body).unwrap_or_default());
        URL_SAFE_NO_PAD.encode(digest.finalize())
    }

    /// Estimated number of prompt tokens.
    pub fn prompt_tokens(&self) -> u64 {
        (self.prompt.len() / BYTES_PER_TOKEN + 1) as u64
    }
}

fn required_string<'a>(body: &'a Map<String, Value>, name: &str) -> Result<&'a str, Error> {
    body.get(name)
        .and_then(Value::as_str)
        .ok_or_else(|| Error::Malformed(format!("`{name}` must be a text")))
}

fn optional_bool(body: &Map<String, Value>, name: &str) -> Result<bool, Error> {
    match body.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(value)) => Ok(*value),
        Some(_) => Err(Error::Malformed(format!("`{name}` must be true or false"))),
    }
}

fn max_tokens(body: &Map<String, Value>) -> Result<Option<u64>, Error> {
    for name in ["max_completion_tokens", "max_tokens"] {
        match body.get(name) {
            None | Some(Value::Null) => {}
            Some(value) => {
                return value
                    .as_u64()
                    .filter(|tokens| *tokens > 0)
                    .map(Some)
                    .ok_or_else(|| Error::Malformed(format!("`{name}` must be a count above 0")));
            }
        }
    }
    Ok(None)
}

/// Checks a message and returns its text.
fn message_text(message: &Value) -> Result<String, Error> {
    let Some(message) = message.as_object() else {
        return Err(Error::Malformed("a message must be an object".into()));
    };
    if !message.get("role").is_some_and(Value::is_string) {
        return Err(Error::Malformed("a message needs a `role`".into()));
    }
    Ok(match message.get("content") {
        Some(Value::String(text)) => text.clone(),
        Some(Value::Array(parts)) => parts
            .iter()
            .filter_map(|part| part.get("text").and_then(Value::as_str))
            .collect::<Vec<_>>()
            .join("\n"),
        _ => String::new(),
    })
}

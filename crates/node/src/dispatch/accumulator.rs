//! Accumulation of stream chunks into a complete answer.

use crate::dispatch::Receipt;
use backend::{Chunk, Error, Usage};
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;

/// Accumulates the chunks of a stream.
#[derive(Debug, Default)]
pub struct Accumulator {
    /// Text of the first choice so far.
    pub text: String,
    /// Token counts, once the engine has reported them.
    pub usage: Option<Usage>,
    /// Number of chunks with text.
    pub chunks: u64,
    fields: Map<String, Value>,
    choices: BTreeMap<u64, Map<String, Value>>,
}

impl Accumulator {
    /// Adds a chunk.
    ///
    /// ```
    /// let mut accumulator = node::dispatch::Accumulator::default();
    /// for data in [
    ///     r#"{"id":"x","choices":[{"index":0,"delta":{"role":"assistant","content":"Hel"}}]}"#,
    ///     r#"{"id":"x","choices":[{"index":0,"delta":{"content":"lo"},"finish_reason":"stop"}]}"#,
    /// ] {
    ///     accumulator.add(&backend::Chunk::parse(data.into())?)?;
    /// }
    /// assert_eq!(accumulator.text, "Hello");
    /// # Ok::<(), backend::Error>(())
    /// ```
    pub fn add(&mut self, chunk: &Chunk) -> Result<(), Error> {
        let mut event: Map<String, Value> = serde_json::from_slice(&chunk.data)?;
        self.text.push_str(&chunk.text);
        self.chunks += u64::from(!chunk.text.is_empty());
        self.usage = chunk.usage.or(self.usage);
        let choices = event.remove("choices");
        event.remove("usage");
        if self.fields.is_empty() {
            self.fields = event;
        }
        for choice in choices.iter().filter_map(Value::as_array).flatten() {
            self.add_choice(choice);
        }
        Ok(())
    }

    /// The complete answer as an OpenAI chat completion.
    pub fn completion(&self, receipt: &Receipt) -> Value {
        let mut body = self.fields.clone();
        body.insert("object".into(), json!("chat.completion"));
        body.insert("choices".into(), self.choices.values().cloned().collect());
        body.insert("usage".into(), json!(self.usage.unwrap_or_default()));
        body.insert("sardinebank".into(), json!(receipt));
        Value::Object(body)
    }

    fn add_choice(&mut self, choice: &Value) {
        let index = choice.get("index").and_then(Value::as_u64).unwrap_or(0);
        let merged = self
            .choices
            .entry(index)
            .or_insert_with(|| empty_choice(index));
        for name in ["finish_reason", "stop_reason"] {
            if let Some(value) = choice.get(name).filter(|value| !value.is_null()) {
                merged.insert(name.into(), value.clone());
            }
        }
        let pairs = [("message", "delta"), ("logprobs", "logprobs")];
        for (name, from) in pairs {
            if let Some(part @ Value::Object(_)) = choice.get(from) {
                merge(merged.entry(name).or_insert_with(|| json!({})), part);
            }
        }
    }
}

fn empty_choice(index: u64) -> Map<String, Value> {
    let mut choice = Map::new();
    choice.insert("index".into(), json!(index));
    choice.insert("message".into(), json!({ "role": "assistant" }));
    choice.insert("finish_reason".into(), Value::Null);
    choice
}

/// Merges a delta: strings are appended, array items with an index are merged by index, and other
/// values are replaced, as are `role`, `id` and `type`.
fn merge(whole: &mut Value, part: &Value) {
    match (whole, part) {
        (_, Value::Null) => {}
        (Value::Object(whole), Value::Object(part)) => {
            for (name, value) in part {
                match whole.get_mut(name) {
                    Some(old) if name != "role" && name != "id" && name != "type" => {
                        merge(old, value);
                    }
                    _ => {
                        whole.insert(name.clone(), value.clone());
                    }
                }
            }
        }
        (Value::String(whole), Value::String(part)) => whole.push_str(part),
        (Value::Array(whole), Value::Array(part)) => {
            part.iter().for_each(|item| merge_item(whole, item));
        }
        (whole, part) => *whole = part.clone(),
    }
}

fn merge_item(whole: &mut Vec<Value>, item: &Value) {
    let index = item.get("index").and_then(Value::as_u64);
    let existing = whole
        .iter_mut()
        .find(|old| index.is_some() && old.get("index").and_then(Value::as_u64) == index);
    match existing {
        Some(old) => merge(old, item),
        None => whole.push(item.clone()),
    }
}

//! Events of a streamed chat completion.

use crate::{Error, Usage};
use bytes::Bytes;
use serde::Deserialize;
use serde_json::value::RawValue;

/// An event as the engine sent it, with the fields that the router uses.
#[derive(Clone, Debug)]
pub struct Chunk {
    /// The event's JSON, unchanged.
    pub data: Bytes,
    /// Text that the chunk appends to the first choice.
    pub text: String,
    /// Token counts; the engine sends them in the last chunk.
    pub usage: Option<Usage>,
    /// Whether any choice of the chunk has a finish reason.
    pub finished: bool,
}

#[derive(Deserialize)]
struct Payload {
    #[serde(default)]
    choices: Vec<Choice>,
    #[serde(default)]
    usage: Option<Usage>,
    #[serde(default)]
    error: Option<Box<RawValue>>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    index: u64,
    #[serde(default)]
    delta: Delta,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Default, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

impl Chunk {
    /// Parses the data of one event.
    ///
    /// ```
    /// let chunk = backend::Chunk::parse(r#"{"choices":[{"index":0,"delta":{"content":"Hi"}}]}"#.into())?;
    /// assert_eq!(chunk.text, "Hi");
    /// # Ok::<(), backend::Error>(())
    /// ```
    pub fn parse(data: Bytes) -> Result<Self, Error> {
        let payload: Payload = serde_json::from_slice(&data)?;
        if payload.error.is_some() {
            return Err(Error::Failed { status: 500 });
        }
        let finished = payload
            .choices
            .iter()
            .any(|choice| choice.finish_reason.is_some());
        let text = payload
            .choices
            .into_iter()
            .filter(|choice| choice.index == 0)
            .filter_map(|choice| choice.delta.content)
            .collect();
        Ok(Self {
            data,
            text,
            usage: payload.usage,
            finished,
        })
    }
}

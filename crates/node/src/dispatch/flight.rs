//! A streamed answer under way.

use crate::Error;
use crate::app::{App, Stay};
use crate::caller::Failure;
use crate::dispatch::leg::{Leg, Open};
use crate::dispatch::{Candidate, Permit, Receipt, Session, micros};
use backend::{Chunk, Ran, Usage};
use bytes::Bytes;
use futures::stream::BoxStream;
use futures::{Stream, StreamExt};
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;

/// Last event of every whole stream.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// A streamed answer. It is billed once, when it ends or is dropped.
pub struct Flight {
    /// What became of the request so far.
    pub receipt: Receipt,
    /// Token of the session.
    pub session: String,
    app: Arc<App>,
    candidate: Candidate,
    customer: String,
    include_usage: bool,
    usage: Usage,
    counted: bool,
    billed: bool,
    ready: VecDeque<Chunk>,
    rest: Option<BoxStream<'static, Result<Chunk, backend::Error>>>,
    permit: Option<Permit>,
    _stay: Stay,
}

impl Flight {
    /// Takes over a stream that has given its first chunk.
    pub(super) fn new(leg: &Leg<'_>, open: Open, stay: Stay) -> Self {
        let candidate = leg.candidate.clone();
        Self {
            receipt: Receipt {
                request_id: leg.request_id.to_owned(),
                model: candidate.model.clone(),
                version: candidate.version.clone(),
                cost_micros: 0,
                ran: Ran::Yes,
            },
            session: leg.app.signer.sign(&Session {
                customer: leg.customer.to_owned(),
                model: candidate.model.clone(),
                version: candidate.version.clone(),
            }),
            app: Arc::clone(leg.app),
            candidate,
            customer: leg.customer.to_owned(),
            include_usage: leg.ask.include_usage,
            usage: Usage {
                prompt_tokens: leg.ask.prompt_tokens(),
                ..Usage::default()
            },
            counted: false,
            billed: false,
            ready: VecDeque::from([open.first]),
            rest: Some(open.rest),
            permit: Some(open.permit),
            _stay: stay,
        }
    }

    /// The answer as server-sent events.
    pub fn events(self) -> impl Stream<Item = Bytes> + Send + 'static {
        futures::stream::unfold(self, |mut flight| async move {
            let bytes = flight.next().await?;
            Some((bytes, flight))
        })
    }

    async fn next(&mut self) -> Option<Bytes> {
        loop {
            if let Some(chunk) = self.ready.pop_front() {
                match self.event(&chunk) {
                    Some(bytes) => return Some(bytes),
                    None => continue,
                }
            }
            match self.rest.as_mut()?.next().await {
                Some(Ok(chunk)) => self.ready.push_back(chunk),
                Some(Err(source)) => return Some(self.fail(source)),
                None => return Some(self.finish()),
            }
        }
    }

    fn event(&mut self, chunk: &Chunk) -> Option<Bytes> {
        if let Some(usage) = chunk.usage {
            self.usage = usage;
            self.counted = true;
            return self.include_usage.then(|| self.usage_event(&chunk.data));
        }
        if !self.counted && !chunk.text.is_empty() {
            self.usage.completion_tokens += 1;
        }
        Some(data(&chunk.data))
    }

    fn usage_event(&mut self, chunk: &[u8]) -> Bytes {
        self.price();
        let mut event: Value = serde_json::from_slice(chunk).unwrap_or_default();
        event["sardinebank"] = json!(self.receipt);
        data(event.to_string().as_bytes())
    }

    fn finish(&mut self) -> Bytes {
        self.end();
        let mut bytes = Vec::new();
        if !self.include_usage {
            // A comment: clients that read only the protocol's events pass over it.
            bytes.extend_from_slice(b": sardinebank ");
            bytes.extend_from_slice(json!(self.receipt).to_string().as_bytes());
            bytes.extend_from_slice(b"\n\n");
        }
        bytes.extend_from_slice(DONE);
        bytes.into()
    }

    fn fail(&mut self, source: backend::Error) -> Bytes {
        self.end();
        data(Failure(Error::Backend { source }).json().as_bytes())
    }

    fn end(&mut self) {
        self.rest = None;
        self.permit = None;
        self.bill();
    }

    fn price(&mut self) {
        self.receipt.cost_micros = micros(&self.candidate.spec, self.usage);
    }

    fn bill(&mut self) {
        if self.billed {
            return;
        }
        self.billed = true;
        self.price();
        self.app.bill(&self.customer, &self.receipt, self.usage);
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.bill();
    }
}

impl fmt::Debug for Flight {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Flight")
            .field("receipt", &self.receipt)
            .finish_non_exhaustive()
    }
}

fn data(json: &[u8]) -> Bytes {
    let mut bytes = Vec::with_capacity(json.len() + 8);
    bytes.extend_from_slice(b"data: ");
    bytes.extend_from_slice(json);
    bytes.extend_from_slice(b"\n\n");
    bytes.into()
}

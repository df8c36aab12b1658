//! A streamed answer in progress.

use crate::Error;
use crate::caller::Failure;
use crate::dispatch::account::Account;
use crate::dispatch::assignment::Assignment;
use crate::dispatch::job::Job;
use crate::dispatch::stage::{Open, Stage};
use crate::dispatch::{Candidate, Receipt};
use crate::schedule::{Sample, Selection};
use backend::{Chunk, Ran, Usage};
use bytes::Bytes;
use futures::StreamExt;
use futures::stream::BoxStream;
use policy::plan::Explanation;
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::fmt;
use std::time::Instant;
use tokio::time::timeout_at;

/// Last event of every complete stream.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// A streamed answer. It is billed once, when it ends or is dropped.
pub struct Stream {
    /// Outcome of the request so far.
    pub receipt: Receipt,
    /// Session token.
    pub session: String,
    /// Why the plan was chosen.
    pub explanation: Explanation,
    job: Job,
    candidate: Candidate,
    account: Account,
    run: Option<Run>,
    buffered: VecDeque<Chunk>,
    ended: bool,
}

/// A run in progress on a backend server.
struct Run {
    assignment: Assignment,
    rest: BoxStream<'static, Result<Chunk, backend::Error>>,
    usage: Usage,
    text: String,
    needs_rating: bool,
}

impl Stream {
    /// Streams an answer whose first chunk has arrived.
    pub(super) fn open(
        job: Job,
        candidate: Candidate,
        open: Open,
        account: Account,
        selection: Selection,
    ) -> Self {
        let run = Run {
            assignment: open.assignment,
            rest: open.rest,
            usage: Usage {
                prompt_tokens: job.request.prompt_tokens(),
                ..Usage::default()
            },
            text: String::new(),
            needs_rating: selection.needs_rating,
        };
        let receipt = Receipt {
            request_id: job.request_id.clone(),
            model: candidate.model.clone(),
            version: candidate.version.clone(),
            cost_micros: 0,
            ran: Ran::Yes,
        };
        let chunks = vec![open.first];
        let explanation = selection.explanation;
        let mut stream = Self::replay(job, candidate, chunks, account, receipt, explanation);
        stream.run = Some(run);
        stream
    }

    /// Streams an answer that is already complete.
    pub(super) fn replay(
        job: Job,
        candidate: Candidate,
        chunks: Vec<Chunk>,
        account: Account,
        receipt: Receipt,
        explanation: Explanation,
    ) -> Self {
        Self {
            session: job.token(&candidate),
            receipt,
            explanation,
            job,
            candidate,
            account,
            run: None,
            buffered: chunks.into(),
            ended: false,
        }
    }

    /// The answer as server-sent events.
    pub fn events(self) -> impl futures::Stream<Item = Bytes> + Send + 'static {
        futures::stream::unfold(self, |mut stream| async move {
            let bytes = stream.next().await?;
            Some((bytes, stream))
        })
    }

    async fn next(&mut self) -> Option<Bytes> {
        loop {
            if let Some(chunk) = self.buffered.pop_front() {
                match self.event(&chunk) {
                    Some(bytes) => return Some(bytes),
                    None => continue,
                }
            }
            if self.ended {
                return None;
            }
            let Some(run) = &mut self.run else {
                return Some(self.finish().await);
            };
            let deadline = self.job.deadline();
            let chunk = timeout_at(deadline.into(), run.rest.next()).await;
            match chunk {
                // `timeout_at` returns a chunk that is ready even after the deadline.
                Ok(Some(Ok(_))) if Instant::now() >= deadline => return Some(self.expire()),
                Ok(Some(Ok(chunk))) => self.buffered.push_back(chunk),
                Ok(Some(Err(source))) => return Some(self.fail(source)),
                Ok(None) => {
                    if let Some(assignment) = self.close_run() {
                        assignment.complete();
                    }
                }
                Err(_) => return Some(self.expire()),
            }
        }
    }

    fn event(&mut self, chunk: &Chunk) -> Option<Bytes> {
        if let Some(run) = &mut self.run {
            run.count(chunk);
        }
        if chunk.usage.is_none() {
            return Some(data(&chunk.data));
        }
        if let Some(run) = &self.run {
            let usage = run.usage;
            let charge = self
                .stage()
                .charge(usage.prompt_tokens, usage.completion_tokens);
            self.receipt.cost_micros = self.account.micros() + charge.micros();
        }
        self.job
            .request
            .include_usage
            .then(|| self.usage_event(&chunk.data))
    }

    fn usage_event(&self, chunk: &[u8]) -> Bytes {
        let mut event: Value = serde_json::from_slice(chunk).unwrap_or_default();
        event["sardinebank"] = json!(self.receipt);
        data(event.to_string().as_bytes())
    }

    async fn finish(&mut self) -> Bytes {
        self.ended = true;
        self.account.close().await;
        let mut bytes = Vec::new();
        if !self.job.request.include_usage {
            // An SSE comment, which clients ignore.
            bytes.extend_from_slice(b": sardinebank ");
            bytes.extend_from_slice(json!(self.receipt).to_string().as_bytes());
            bytes.extend_from_slice(b"\n\n");
        }
        bytes.extend_from_slice(DONE);
        bytes.into()
    }

    fn fail(&mut self, source: backend::Error) -> Bytes {
        self.ended = true;
        let error = match self.close_run() {
            Some(assignment) => self.stage().failed(assignment, source),
            None => Error::Backend { source },
        };
        data(Failure(error).json().as_bytes())
    }

    /// Ends the stream at the deadline of its request, and its run with it.
    fn expire(&mut self) -> Bytes {
        self.ended = true;
        drop(self.close_run());
        let error = Error::Deadline {
            limit: self.job.limit,
            ran: Ran::Yes,
        };
        data(Failure(error).json().as_bytes())
    }

    fn stage(&self) -> Stage<'_> {
        Stage {
            job: &self.job,
            candidate: &self.candidate,
        }
    }

    /// Ends the run: bills it, records its duration and returns its assignment.
    fn close_run(&mut self) -> Option<Assignment> {
        let run = self.run.take()?;
        let usage = run.usage;
        let charge = self
            .stage()
            .charge(usage.prompt_tokens, usage.completion_tokens);
        self.account.add(charge);
        self.receipt.cost_micros = self.account.micros();
        let scheduler = &self.job.app.scheduler;
        let took = self.job.started.elapsed();
        scheduler.record_answer(self.stage().subject(), usage.completion_tokens, took);
        if run.needs_rating {
            scheduler.rate_later(Sample {
                model: self.candidate.model.clone(),
                version: self.candidate.version.clone(),
                task: self.job.target.task.clone(),
                customer: self.job.customer().clone(),
                escalated: false,
                prompt: self.job.request.prompt.clone(),
                answer: run.text,
            });
        }
        Some(run.assignment)
    }
}

impl Run {
    /// Updates the token counts. Until the engine reports its own, each chunk with text counts as one
    /// output token.
    fn count(&mut self, chunk: &Chunk) {
        if let Some(usage) = chunk.usage {
            self.usage = usage;
            return;
        }
        self.usage.completion_tokens += u64::from(!chunk.text.is_empty());
        if self.needs_rating {
            self.text.push_str(&chunk.text);
        }
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.close_run();
    }
}

impl fmt::Debug for Stream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Stream")
            .field("receipt", &self.receipt)
            .finish_non_exhaustive()
    }
}

fn data(json: &[u8]) -> Bytes {
    const PREFIX: &[u8] = b"data: ";
    const END: &[u8] = b"\n\n";
    [PREFIX, json, END].concat().into()
}

//! Chat requests.

use crate::Error;
use crate::app::App;
use crate::dispatch::account::Account;
use crate::dispatch::job::Job;
use crate::dispatch::stage::{Collected, Stage};
use crate::dispatch::{Answer, Receipt, Request, Stream};
use crate::schedule::{Sample, Selection};
use backend::Ran;
use std::sync::Arc;

/// A complete answer and the stage that produced it.
struct Outcome<'a> {
    stage: Stage<'a>,
    collected: Collected,
}

/// Executes a request of a customer. Returns the complete answer, or a stream whose first chunk has
/// arrived.
pub async fn chat(
    app: &Arc<App>,
    customer: &str,
    request: Request,
    token: Option<&str>,
) -> Result<Answer, Error> {
    let job = Job::new(app, customer, request, token)?;
    let selection = job.plan()?;
    let account = job.open_account(&selection).await?;
    let attempts = Arc::clone(&job.attempts);
    let answer = match job.request.stream && selection.fallback.is_none() {
        true => stream(job, selection, account).await,
        false => collect(job, selection, account).await,
    };
    answer.map_err(|error| attempts.annotate(error))
}

async fn stream(job: Job, selection: Selection, account: Account) -> Result<Answer, Error> {
    let candidate = job.candidate(&selection.first)?.clone();
    let stage = Stage {
        job: &job,
        candidate: &candidate,
    };
    let open = stage.open().await?;
    let stream = Stream::open(job, candidate, open, account, selection);
    Ok(Answer::Stream(Box::new(stream)))
}

async fn collect(job: Job, selection: Selection, mut account: Account) -> Result<Answer, Error> {
    let Outcome { stage, collected } = run(&job, &selection, &mut account).await?;
    let candidate = stage.candidate.clone();
    let explanation = selection.explanation;
    let session = job.token(&candidate);
    let receipt = Receipt {
        request_id: job.request_id.clone(),
        model: candidate.model.clone(),
        version: candidate.version.clone(),
        cost_micros: account.micros(),
        ran: Ran::Yes,
    };
    if job.request.stream {
        let stream = Stream::replay(
            job,
            candidate,
            collected.chunks,
            account,
            receipt,
            explanation,
        );
        return Ok(Answer::Stream(Box::new(stream)));
    }
    account.close().await;
    Ok(Answer::Whole {
        body: collected.accumulator.completion(&receipt).to_string(),
        receipt,
        session,
        explanation,
    })
}

/// Runs the first stage, and the fallback if the first one fails or its answer is rated bad.
async fn run<'a>(
    job: &'a Job,
    selection: &Selection,
    account: &mut Account,
) -> Result<Outcome<'a>, Error> {
    let first = stage(job, &selection.first)?;
    let Some(fallback) = &selection.fallback else {
        let collected = answer(first, account).await?;
        if selection.needs_rating {
            job.app
                .scheduler
                .rate_later(sample(first, &collected, false));
        }
        return Ok(Outcome {
            stage: first,
            collected,
        });
    };
    let fallback = stage(job, fallback)?;
    let collected = match answer(first, account).await {
        Ok(collected) => collected,
        Err(Error::Capacity(_) | Error::Overloaded { .. } | Error::Backend { .. }) => {
            let collected = answer(fallback, account).await?;
            return Ok(Outcome {
                stage: fallback,
                collected,
            });
        }
        Err(error) => return Err(error),
    };
    let good = job
        .app
        .scheduler
        .rate(&sample(first, &collected, false))
        .await;
    if good != Some(false) {
        return Ok(Outcome {
            stage: first,
            collected,
        });
    }
    escalate(first, collected, fallback, account).await
}

/// Runs the fallback after the first answer was rated bad. If it fails, the first answer is used.
async fn escalate<'a>(
    first: Stage<'a>,
    rejected: Collected,
    fallback: Stage<'a>,
    account: &mut Account,
) -> Result<Outcome<'a>, Error> {
    match answer(fallback, account).await {
        Ok(collected) => {
            let sample = sample(fallback, &collected, true);
            fallback.job.app.scheduler.rate_later(sample);
            Ok(Outcome {
                stage: fallback,
                collected,
            })
        }
        Err(error) => {
            log::warn!(event = 1102; "delivering an answer rated bad, the fallback failed: {error}");
            Ok(Outcome {
                stage: first,
                collected: rejected,
            })
        }
    }
}

/// Runs a stage to its end, bills it and records its duration.
async fn answer(stage: Stage<'_>, account: &mut Account) -> Result<Collected, Error> {
    let started = std::time::Instant::now();
    let collected = stage.collect().await?;
    let usage = collected.accumulator.usage.unwrap_or_default();
    account.add(stage.charge(usage.prompt_tokens, usage.completion_tokens));
    stage.job.app.scheduler.record_answer(
        stage.subject(),
        usage.completion_tokens,
        started.elapsed(),
    );
    Ok(collected)
}

fn stage<'a>(job: &'a Job, name: &(String, String)) -> Result<Stage<'a>, Error> {
    let candidate = job.candidate(name)?;
    Ok(Stage { job, candidate })
}

fn sample(stage: Stage<'_>, collected: &Collected, escalated: bool) -> Sample {
    Sample {
        model: stage.candidate.model.clone(),
        version: stage.candidate.version.clone(),
        task: stage.job.target.task.clone(),
        customer: stage.job.customer().clone(),
        escalated,
        prompt: stage.job.request.prompt.clone(),
        answer: collected.accumulator.text.clone(),
    }
}

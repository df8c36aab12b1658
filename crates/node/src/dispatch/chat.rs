//! Answers a chat request.

use crate::Error;
use crate::app::App;
use crate::dispatch::account::Account;
use crate::dispatch::job::Job;
use crate::dispatch::leg::{Collected, Leg};
use crate::dispatch::{Answer, Receipt, Request, Stream};
use crate::schedule::{Sample, Selection};
use backend::Ran;
use std::sync::Arc;

/// An answer that was read to its end, and the version that gave it.
struct Final<'a> {
    leg: Leg<'a>,
    collected: Collected,
}

/// Answers a request of a customer, whole or as a stream that has begun.
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
    answer.map_err(|error| attempts.tell(error))
}

async fn stream(job: Job, selection: Selection, account: Account) -> Result<Answer, Error> {
    let candidate = job.candidate(&selection.first)?.clone();
    let leg = Leg {
        job: &job,
        candidate: &candidate,
    };
    let open = leg.open().await?;
    let stream = Stream::open(job, candidate, open, account, selection);
    Ok(Answer::Stream(Box::new(stream)))
}

async fn collect(job: Job, selection: Selection, mut account: Account) -> Result<Answer, Error> {
    let Final { leg, collected } = run(&job, &selection, &mut account).await?;
    let candidate = leg.candidate.clone();
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

/// Runs the first version, and the second where the first fails or is rated bad.
async fn run<'a>(
    job: &'a Job,
    selection: &Selection,
    account: &mut Account,
) -> Result<Final<'a>, Error> {
    let first = leg(job, &selection.first)?;
    let Some(then) = &selection.fallback else {
        let collected = answer(first, account).await?;
        if selection.needs_rating {
            job.app
                .scheduler
                .rate_later(sample(first, &collected, false));
        }
        return Ok(Final {
            leg: first,
            collected,
        });
    };
    let then = leg(job, then)?;
    let collected = match answer(first, account).await {
        Ok(collected) => collected,
        Err(Error::Capacity(_) | Error::Overloaded { .. } | Error::Backend { .. }) => {
            let collected = answer(then, account).await?;
            return Ok(Final {
                leg: then,
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
        return Ok(Final {
            leg: first,
            collected,
        });
    }
    escalate(first, collected, then, account).await
}

/// Runs the second version; where it can't run, the first answer stands.
async fn escalate<'a>(
    first: Leg<'a>,
    poor: Collected,
    then: Leg<'a>,
    account: &mut Account,
) -> Result<Final<'a>, Error> {
    match answer(then, account).await {
        Ok(collected) => {
            let sample = sample(then, &collected, true);
            then.job.app.scheduler.rate_later(sample);
            Ok(Final {
                leg: then,
                collected,
            })
        }
        Err(error) => {
            log::warn!(event = 1102; "answer rated bad stands, the better version failed: {error}");
            Ok(Final {
                leg: first,
                collected: poor,
            })
        }
    }
}

async fn answer(leg: Leg<'_>, account: &mut Account) -> Result<Collected, Error> {
    let started = std::time::Instant::now();
    let collected = leg.collect().await?;
    let usage = collected.accumulator.usage.unwrap_or_default();
    account.add(leg.priced(usage.prompt_tokens, usage.completion_tokens));
    leg.job
        .app
        .scheduler
        .record_answer(leg.subject(), usage.completion_tokens, started.elapsed());
    Ok(collected)
}

fn leg<'a>(job: &'a Job, name: &(String, String)) -> Result<Leg<'a>, Error> {
    let candidate = job.candidate(name)?;
    Ok(Leg { job, candidate })
}

fn sample(leg: Leg<'_>, collected: &Collected, escalated: bool) -> Sample {
    Sample {
        model: leg.candidate.model.clone(),
        version: leg.candidate.version.clone(),
        task: leg.job.target.task.clone(),
        customer: leg.job.customer().clone(),
        escalated,
        prompt: leg.job.request.prompt.clone(),
        answer: collected.accumulator.text.clone(),
    }
}

//! Answers a chat request.

use crate::Error;
use crate::app::App;
use crate::dispatch::leg::Leg;
use crate::dispatch::{Answer, Ask, Candidate, Choice, Flight, Receipt, Session, micros, resolve};
use backend::Ran;
use contract::Contract;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time for a request whose contract names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

/// Longest answer in tokens for a request whose contract names none.
const DEFAULT_MAX_TOKENS: u64 = 1_024;

/// Answers a request of a customer, whole or as a stream that has begun.
pub async fn chat(
    app: &Arc<App>,
    customer: &str,
    ask: Ask,
    session: Option<&str>,
) -> Result<Answer, Error> {
    let stay = app.enter()?;
    let config = app.config();
    let contract = config.contract(customer).ok_or(Error::Unauthenticated)?;
    let session = session.map(|token| app.signer.verify(token)).transpose()?;
    let choice = resolve(&config, contract, &ask.target, session.as_ref())?;
    let request_id = app.request_id();
    let candidate = cheapest(&choice);
    let limit = limit(&choice);
    let leg = Leg {
        app,
        ask: &ask,
        candidate,
        customer,
        request_id: &request_id,
        priority: contract.priority,
        max_tokens: max_tokens(&ask, &choice),
        deadline: Instant::now() + limit,
        limit,
    };
    if ask.stream {
        let open = leg.open().await?;
        return Ok(Answer::Stream(Box::new(Flight::new(&leg, open, stay))));
    }
    let assembly = leg.collect().await?;
    let usage = assembly.usage.unwrap_or_default();
    let receipt = Receipt {
        request_id: request_id.clone(),
        model: candidate.model.clone(),
        version: candidate.version.clone(),
        cost_micros: micros(&candidate.spec, usage),
        ran: Ran::Yes,
    };
    app.bill(customer, &receipt, usage);
    Ok(Answer::Whole {
        body: assembly.whole(&receipt).to_string(),
        session: token(app, contract, candidate),
        why: String::new(),
        receipt,
    })
}

fn cheapest(choice: &Choice) -> &Candidate {
    let price = |one: &&Candidate| one.spec.input_micros + one.spec.output_micros;
    choice
        .candidates
        .iter()
        .min_by_key(price)
        .unwrap_or(&choice.candidates[0])
}

fn limit(choice: &Choice) -> Duration {
    choice.expected.as_ref().map_or(DEFAULT_DEADLINE, |task| {
        Duration::from_millis(task.deadline_ms)
    })
}

fn max_tokens(ask: &Ask, choice: &Choice) -> u64 {
    let most = choice
        .expected
        .as_ref()
        .map_or(DEFAULT_MAX_TOKENS, |task| u64::from(task.max_tokens));
    ask.max_tokens.unwrap_or(most).min(most)
}

pub(super) fn token(app: &App, contract: &Contract, candidate: &Candidate) -> String {
    app.signer.sign(&Session {
        customer: contract.customer.clone(),
        model: candidate.model.clone(),
        version: candidate.version.clone(),
    })
}

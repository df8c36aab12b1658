//! Judges the answer of a model: it is passed on, or a larger model is asked.

use super::attempt::{Attempt, start_attempt};
use super::exchange::{Choice, Exchange, Judged};
use super::headers::text;
use crate::app::App;
use crate::metrics;
use hyper::HeaderMap;
use limits::retry::Purpose;
use platform::header;
use route::cascade::{Answer, Conditions, Sizes};
use std::sync::Arc;

/// Starts an attempt with a larger model if the current one isn't confident in its answer, and the
/// capacity and the retry budget allow it. The answer is passed on otherwise.
pub fn escalate(app: &Arc<App>, exchange: &mut Exchange, headers: &HeaderMap) -> Option<Attempt> {
    let current = exchange.model.clone()?;
    let answer = read_answer(exchange, &current.name, headers);
    let report = if answer.is_some() { "valid" } else { "invalid" };
    let label = metrics::Confidence { report };
    app.metrics.confidences.get_or_create(&label).inc();
    let answer = answer?;
    let larger = decide(app, exchange, &answer);
    exchange.judged = Some(Judged {
        model: current.name.clone(),
        confidence: answer.confidence,
    });
    exchange.model = Some(larger?);
    let last = exchange.tried_servers.pop();
    let attempt = start_attempt(app, exchange);
    exchange.tried_servers.extend(last);
    match attempt {
        Ok(attempt) => Some(attempt),
        Err(reason) => {
            log::info!(event = 1735, request = exchange.log_id(), service = exchange.service.as_str(),
                sends = exchange.attempts; "no larger model is asked: {reason}");
            app.return_retry(&exchange.service);
            exchange.model = Some(current);
            None
        }
    }
}

/// Reads the confidence of a model; none if the response has no valid one.
fn read_answer<'a>(exchange: &Exchange, model: &'a str, headers: &HeaderMap) -> Option<Answer<'a>> {
    let value = text(headers, header::CONFIDENCE);
    let confidence = value.and_then(|value| value.trim().parse().ok());
    let answer = confidence.and_then(|confidence| Answer::new(model, confidence));
    if answer.is_none() {
        log::warn!(event = 1747, request = exchange.log_id(), model = model,
            confidence = value.unwrap_or("-"); "the model reports no valid confidence; its answer is passed on");
    }
    answer
}

/// Chooses the larger model to ask, if any, and takes the retry for it from the budget.
fn decide(app: &App, exchange: &Exchange, answer: &Answer) -> Option<Choice> {
    let mut state = app.state();
    let judged = exchange.judged.as_ref();
    if let Some(smaller) = judged.and_then(|judged| Answer::new(&judged.model, judged.confidence)) {
        state.record_escalation(&exchange.service, &smaller, answer);
    }
    let estimator = state.pool.estimator(&exchange.service);
    let left = exchange.target_left().as_secs_f64() * 1e3;
    let conditions = Conditions {
        contention: state.pool.contention(&exchange.service),
        max_time: estimator.slowest_within(exchange.work.prompt_tokens, left),
    };
    let routes = Arc::clone(&state.routes);
    let prices = routes.config().prices(&exchange.service);
    let sizes = Sizes::new(&exchange.route.models, prices);
    let cascade = state.cascade(&exchange.service);
    let larger = cascade.and_then(|cascade| cascade.next(&sizes, answer, conditions));
    drop(state);
    let granted = larger.is_some()
        && exchange.is_repeatable()
        && app.take_retry(&exchange.service, Purpose::Escalation);
    log::info!(event = 1734, request = exchange.log_id(), model = answer.model, confidence = answer.confidence as u32,
        contention_percent = (conditions.contention * 100.0) as u32,
        max_time_percent = (conditions.max_time * 100.0) as u32,
        larger = larger.unwrap_or("-"), granted = granted, sends = exchange.attempts; "answer of a model judged");
    larger.filter(|_| granted).map(|name| Choice {
        name: name.to_owned(),
        time: sizes.relative_time(name),
    })
}

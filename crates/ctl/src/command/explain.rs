//! Explains where a request would go now, without sending it.

use crate::error::Error;
use crate::options::{Part, Placement};
use crate::output::{Output, table};
use reqwest::StatusCode;
use route::explain::{Reply, Request};
use route::pool::{Candidate, Explanation};
use serde::Deserialize;
use std::time::Duration;

/// Candidates that are listed as text.
const MAX_LISTED: usize = 12;

/// Body of a response that explains nothing.
#[derive(Debug, Deserialize)]
struct Problem {
    error: String,
}

/// Asks a node and prints its answer.
pub async fn run(
    url: &str,
    timeout_ms: u64,
    placement: Placement,
    output: &Output,
) -> Result<(), Error> {
    let request = read(placement)?;
    let client = reqwest::Client::builder()
        .timeout(Duration::from_millis(timeout_ms))
        .no_proxy()
        .build()
        .map_err(Error::Client)?;
    let url = format!("{}/explain", url.trim_end_matches('/'));
    let response = client.post(url).json(&request).send().await;
    let response = response.map_err(Error::Explain)?;
    if response.status() != StatusCode::OK {
        let problem: Problem = response.json().await.map_err(Error::Explain)?;
        return Err(Error::NotExplained(problem.error));
    }
    let reply: Reply = response.json().await.map_err(Error::Explain)?;
    output.print(&reply, || describe(&reply));
    Ok(())
}

/// Reads the request from the file and the flags.
fn read(placement: Placement) -> Result<Request, Error> {
    let mut request = match &placement.file {
        Some(path) => {
            let text = std::fs::read_to_string(path).map_err(|source| Error::File {
                path: path.clone(),
                source,
            })?;
            serde_json::from_str(&text).map_err(|error| Error::NotExplained(error.to_string()))?
        }
        None => Request::default(),
    };
    let Placement {
        host,
        path,
        model,
        prompt_tokens,
        output_tokens,
        kilobytes,
        part,
        ..
    } = placement;
    request.host = host.unwrap_or(request.host);
    request.path = path.unwrap_or(request.path);
    request.model = model.or(request.model);
    request.prompt_tokens = prompt_tokens.unwrap_or(request.prompt_tokens);
    request.output_tokens = output_tokens.unwrap_or(request.output_tokens);
    request.kilobytes = kilobytes.unwrap_or(request.kilobytes);
    if !part.is_empty() {
        request.parts = part
            .into_iter()
            .map(|Part(id, tokens)| (id, tokens))
            .collect();
    }
    Ok(request)
}

fn describe(reply: &Reply) -> String {
    let model = reply.model.as_deref().unwrap_or("-");
    let mut text = format!(
        "node {}, route {}, model {model}, revision {}, list of servers {} ms old\n",
        reply.node, reply.route, reply.revision, reply.list_age_ms
    );
    for (weight, explanation) in &reply.services {
        text.push_str(&describe_service(*weight, explanation));
    }
    text
}

fn describe_service(weight: u32, explanation: &Explanation) -> String {
    let Explanation {
        service,
        zone,
        draws,
        refused,
        leaving,
        preferred,
        candidates,
    } = explanation;
    let mut text = format!(
        "\nservice {service} (weight {weight}), from zone {zone}: no place in {refused} of {draws} draws; \
        {:.0}% leave the zone ({:.0} ms here if all stayed, {:.0} ms elsewhere)\n",
        leaving.share * 100.0,
        leaving.own_millis,
        leaving.other_millis,
    );
    if let Some(preferred) = preferred {
        text.push_str(&format!(
            "shared parts of the prompt are most likely cached by {preferred}\n"
        ));
    }
    let header = ["server", "zone", "chosen", "requests", "cost ms", "why"];
    let mut rows = vec![header.map(str::to_owned).to_vec()];
    rows.extend(candidates.iter().take(MAX_LISTED).map(row));
    text.push_str(&table(&rows));
    if let Some(more) = candidates
        .len()
        .checked_sub(MAX_LISTED)
        .filter(|more| *more > 0)
    {
        text.push_str(&format!("\n({more} more)\n"));
    }
    text
}

fn row(candidate: &Candidate) -> Vec<String> {
    let why = match candidate.obstacle {
        Some(obstacle) => format!("excluded: {obstacle:?}").to_lowercase(),
        None => causes(candidate),
    };
    vec![
        candidate.server.clone(),
        candidate.zone.clone(),
        candidate.chosen.to_string(),
        candidate.requests.to_string(),
        format!("{:.0}", candidate.cost),
        why,
    ]
}

/// Lists the causes of a cost that are at least a millisecond.
fn causes(candidate: &Candidate) -> String {
    let terms = &candidate.terms;
    let causes = [
        ("failures", terms.failures),
        ("cold", terms.cold),
        ("transfer", terms.transfer),
        ("queue", terms.queue),
        ("decoding", terms.decoding),
        ("contention", terms.contention),
        ("prompt", terms.prefill),
        ("prompts before", terms.queued_prefill),
        ("storage", terms.storage),
        ("memory", terms.memory),
    ];
    let causes = causes.iter().filter(|(_, millis)| *millis >= 1.0);
    let causes: Vec<_> = causes
        .map(|(name, millis)| format!("{name} {millis:.0}"))
        .collect();
    causes.join(", ")
}

//! Submits changes of the configuration and waits until they are in force.

use crate::client::Client;
use crate::error::Error;
use crate::options;
use crate::output::Output;
use contract::operator::{self, Edit, Objects, Outcome, State};
use contract::{Config, Object, ObjectKey};
use std::hash::{BuildHasher, Hasher, RandomState};
use std::time::{Duration, Instant};

/// Interval at which the state of a change is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// New value of each edited object by key; `None` removes the object.
pub type Edits = Vec<(ObjectKey, Option<Object>)>;

/// Fetches the configuration that a node has applied.
pub async fn fetch_config(client: &Client) -> Result<Config, Error> {
    let response: Objects = client.get("/objects").await?;
    let objects = response
        .objects
        .into_iter()
        .filter_map(|(_, value)| serde_json::from_value(value).ok());
    Ok(Config::new(response.revision, objects.collect()))
}

/// Submits edits that were made to the configuration `base`, and prints the outcome.
pub async fn submit(
    client: &Client,
    base: &Config,
    edits: Edits,
    options: options::Change,
    output: &Output,
) -> Result<(), Error> {
    let change = operator::Change {
        base: Some(base.revision()),
        change: options.change_id.unwrap_or_else(generate_id),
        dry_run: options.dry_run,
        entries: edits.into_iter().map(to_edit).collect(),
    };
    let result = client.post("/changes", &change, &change.change).await;
    let mut outcome: Outcome = match result {
        Err(Error::Conflict(refusal)) if is_already_applied(&refusal) => {
            output.print(&refusal.conflict, || "it already stands so".to_owned());
            return Ok(());
        }
        result => result?,
    };
    for finding in &outcome.findings {
        output.print_note(&format!(
            "warning: {} {}: {}",
            finding.key, finding.path, finding.message
        ));
    }
    if options.wait && !options.dry_run {
        let limit = Duration::from_millis(options.wait_ms);
        outcome = wait_until_in_force(client, outcome, limit).await?;
    }
    if outcome.state == State::Written {
        return Err(Error::Pending(Box::new(outcome)));
    }
    output.print(&outcome, || describe(&outcome));
    Ok(())
}

fn to_edit((key, object): (ObjectKey, Option<Object>)) -> Edit {
    let object = object.and_then(|object| serde_json::to_value(object).ok());
    Edit { key, object }
}

/// Whether the object already has the value that the rejected change would have given it.
fn is_already_applied(refusal: &operator::Refusal) -> bool {
    let conflict = refusal.conflict.as_ref();
    conflict.is_some_and(|conflict| conflict.current == conflict.yours)
}

async fn wait_until_in_force(
    client: &Client,
    initial: Outcome,
    limit: Duration,
) -> Result<Outcome, Error> {
    let start = Instant::now();
    let path = format!("/changes/{}", initial.change);
    let mut outcome = initial;
    while outcome.state != State::InForce {
        if start.elapsed() > limit {
            return Err(Error::Pending(Box::new(outcome)));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
        match client.get(&path).await {
            Ok(newer) => outcome = newer,
            // The change is already accepted, so an unreachable node is only asked again.
            Err(Error::Unreachable(_)) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(outcome)
}

/// Describes an outcome in one line.
pub fn describe(outcome: &Outcome) -> String {
    let revision = outcome
        .revision
        .map_or(String::new(), |number| format!(", revision {number}"));
    let state = match outcome.state {
        State::Accepted => "accepted",
        State::Checked => "checked, nothing was changed",
        State::InForce => "in force",
        State::Written => "written, not yet accepted by a majority",
    };
    let outstanding = match outcome.outstanding.is_empty() {
        true => String::new(),
        false => format!("; outstanding: {}", outcome.outstanding.join(", ")),
    };
    format!("change {}: {state}{revision}{outstanding}", outcome.change)
}

/// Generates the id of a change. It is random because each process seeds its hashers at random.
fn generate_id() -> String {
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u32(std::process::id());
    format!("ctl-{:016x}", hasher.finish())
}

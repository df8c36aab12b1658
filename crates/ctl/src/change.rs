//! Making a change and waiting until it is in force.

use crate::client::Client;
use crate::error::Error;
use crate::options;
use crate::output::Output;
use contract::operator::{self, Edit, Objects, Outcome, State};
use contract::{Config, Object, ObjectKey};
use std::hash::{BuildHasher, Hasher, RandomState};
use std::time::{Duration, Instant};

/// Pause between two looks at a change that isn't in force yet.
const POLL: Duration = Duration::from_millis(100);

/// Edits of objects by key; no object removes it.
pub type Edits = Vec<(ObjectKey, Option<Object>)>;

/// The configuration that a node has applied.
pub async fn config(client: &Client) -> Result<Config, Error> {
    let read: Objects = client.get("/objects").await?;
    let objects = read
        .objects
        .into_iter()
        .filter_map(|(_, value)| serde_json::from_value(value).ok());
    Ok(Config::new(read.revision, objects.collect()))
}

/// Sends edits written against a base, and shows the outcome.
pub async fn submit(
    client: &Client,
    base: &Config,
    edits: Edits,
    options: options::Change,
    output: &Output,
) -> Result<(), Error> {
    let change = operator::Change {
        base: Some(base.revision()),
        change: options.change_id.unwrap_or_else(new_id),
        dry_run: options.dry_run,
        entries: edits.into_iter().map(edit).collect(),
    };
    let sent = client.post("/changes", &change, &change.change).await;
    let mut outcome: Outcome = match sent {
        Err(Error::Conflict(refusal)) if same(&refusal) => {
            output.show(&refusal.conflict, || "it already stands so".to_owned());
            return Ok(());
        }
        sent => sent?,
    };
    for finding in &outcome.findings {
        output.note(&format!(
            "warning: {} {}: {}",
            finding.key, finding.path, finding.message
        ));
    }
    if options.wait && !options.dry_run {
        let limit = Duration::from_millis(options.wait_ms);
        outcome = wait(client, outcome, limit).await?;
    }
    if outcome.state == State::Written {
        return Err(Error::Waiting(Box::new(outcome)));
    }
    output.show(&outcome, || describe(&outcome));
    Ok(())
}

fn edit((key, object): (ObjectKey, Option<Object>)) -> Edit {
    let object = object.and_then(|object| serde_json::to_value(object).ok());
    Edit { key, object }
}

/// Whether the change that came first asked for the same.
fn same(refusal: &operator::Refusal) -> bool {
    let conflict = refusal.conflict.as_ref();
    conflict.is_some_and(|conflict| conflict.current == conflict.yours)
}

async fn wait(client: &Client, first: Outcome, limit: Duration) -> Result<Outcome, Error> {
    let start = Instant::now();
    let path = format!("/changes/{}", first.change);
    let mut outcome = first;
    while outcome.state != State::InForce {
        if start.elapsed() > limit {
            return Err(Error::Waiting(Box::new(outcome)));
        }
        tokio::time::sleep(POLL).await;
        match client.get(&path).await {
            Ok(newer) => outcome = newer,
            // The change is known to be accepted: a node that can't be read only prolongs the wait.
            Err(Error::Unreachable(_)) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(outcome)
}

/// One line about an outcome.
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

/// A new id of a change; the hasher's keys are random in each process.
fn new_id() -> String {
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u32(std::process::id());
    format!("ctl-{:016x}", hasher.finish())
}

//! Resolution of the `model` of a request to the versions that may answer it.

use crate::Error;
use crate::dispatch::{Candidate, Session};
use contract::{Config, Contract, Task, TaskId};

/// Task name in the statistics of requests that name a model instead of a task.
const NO_TASK: &str = "";

/// Versions that may answer a request and the terms that apply to it.
#[derive(Clone, Debug)]
pub struct Target {
    /// Task of the contract; empty if the caller named a model.
    pub task: TaskId,
    /// Terms of the contract for the task; `None` if the caller named a model.
    pub expected: Option<Task>,
    /// Allowed versions; never empty.
    pub candidates: Vec<Candidate>,
}

/// Resolves the target of a request to the versions that may answer it. Within a session, only the
/// session's version is a candidate.
///
/// ```
/// let config = contract::Config::default();
/// let contract: contract::Contract =
///     serde_json::from_str(r#"{"customer":"c","keys":[],"models":["small"]}"#).unwrap();
/// let resolved = node::dispatch::resolve(&config, &contract, "small", None);
/// assert!(matches!(resolved, Err(node::Error::UnknownTarget(_))));
/// ```
pub fn resolve(
    config: &Config,
    contract: &Contract,
    target: &str,
    session: Option<&Session>,
) -> Result<Target, Error> {
    let expected = contract.tasks.get(target).cloned();
    let task = match expected {
        Some(_) => target,
        None => NO_TASK,
    };
    let matching = matching(config, target, expected.is_some());
    if matching.is_empty() {
        return Err(Error::UnknownTarget(target.to_owned()));
    }
    let mut candidates = allowed(config, contract, matching)?;
    if let Some(session) = session {
        restrict_to_session(config, contract, session, &mut candidates)?;
    }
    Ok(Target {
        task: task.to_owned(),
        expected,
        candidates,
    })
}

/// Versions that the target names; all versions of all models if it is a task.
fn matching(config: &Config, target: &str, is_task: bool) -> Vec<Candidate> {
    let (name, only) = match target.split_once('@') {
        Some((name, version)) => (name, Some(version)),
        None => (target, None),
    };
    config
        .models()
        .filter(|model| is_task || model.name == name)
        .flat_map(|model| {
            model.versions.iter().map(|version| Candidate {
                model: model.name.clone(),
                version: version.name.clone(),
                spec: version.clone(),
            })
        })
        .filter(|candidate| is_task || only.is_none_or(|only| only == candidate.version))
        .collect()
}

/// Restricts the versions to those that the contract allows.
fn allowed(
    config: &Config,
    contract: &Contract,
    matching: Vec<Candidate>,
) -> Result<Vec<Candidate>, Error> {
    let withdrawn = matching
        .iter()
        .find(|candidate| config.is_withdrawn(&candidate.model, &candidate.version))
        .map(Candidate::served_name);
    let first = matching[0].served_name();
    let candidates: Vec<_> = matching
        .into_iter()
        .filter(|candidate| config.is_allowed(contract, &candidate.model, &candidate.version))
        .collect();
    match (candidates.is_empty(), withdrawn) {
        (false, _) => Ok(candidates),
        (true, Some(withdrawn)) => Err(Error::Withdrawn(withdrawn)),
        (true, None) => Err(Error::Forbidden(first)),
    }
}

/// Restricts the candidates to the session's version.
fn restrict_to_session(
    config: &Config,
    contract: &Contract,
    session: &Session,
    candidates: &mut Vec<Candidate>,
) -> Result<(), Error> {
    if session.customer != contract.customer {
        return Err(Error::Session);
    }
    let name = format!("{}@{}", session.model, session.version);
    if config.is_withdrawn(&session.model, &session.version) {
        return Err(Error::Withdrawn(name));
    }
    candidates.retain(|candidate| {
        candidate.model == session.model && candidate.version == session.version
    });
    if candidates.is_empty() {
        return Err(Error::Forbidden(name));
    }
    Ok(())
}

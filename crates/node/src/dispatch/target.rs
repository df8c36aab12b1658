//! From a caller's `model` to the versions that may answer.

use crate::Error;
use crate::dispatch::{Candidate, Session};
use contract::{Config, Contract, Task, TaskId};

/// Name under which requests for a model outright are rated.
const NO_TASK: &str = "";

/// What a request may run on and what is expected of it.
#[derive(Clone, Debug)]
pub struct Target {
    /// Task of the contract; empty when the caller named a model.
    pub task: TaskId,
    /// What the contract expects; absent when the caller named a model.
    pub expected: Option<Task>,
    /// Allowed versions, never empty.
    pub candidates: Vec<Candidate>,
}

/// Finds the versions that may answer. A session's version comes alone.
///
/// ```
/// let config = contract::Config::default();
/// let contract: contract::Contract =
///     serde_json::from_str(r#"{"customer":"c","keys":[],"models":["small"]}"#).unwrap();
/// let nothing = node::dispatch::resolve(&config, &contract, "small", None);
/// assert!(matches!(nothing, Err(node::Error::UnknownTarget(_))));
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
    let named = matching(config, target, expected.is_some());
    if named.is_empty() {
        return Err(Error::UnknownTarget(target.to_owned()));
    }
    let mut candidates = allowed(config, contract, named)?;
    if let Some(session) = session {
        keep_version(config, contract, session, &mut candidates)?;
    }
    Ok(Target {
        task: task.to_owned(),
        expected,
        candidates,
    })
}

fn matching(config: &Config, target: &str, task: bool) -> Vec<Candidate> {
    let (name, only) = match target.split_once('@') {
        Some((name, version)) => (name, Some(version)),
        None => (target, None),
    };
    config
        .models()
        .filter(|model| task || model.name == name)
        .flat_map(|model| {
            model.versions.iter().map(|version| Candidate {
                model: model.name.clone(),
                version: version.name.clone(),
                spec: version.clone(),
            })
        })
        .filter(|candidate| task || only.is_none_or(|only| only == candidate.version))
        .collect()
}

fn allowed(
    config: &Config,
    contract: &Contract,
    named: Vec<Candidate>,
) -> Result<Vec<Candidate>, Error> {
    let withdrawn = named
        .iter()
        .find(|one| config.withdrawn(&one.model, &one.version))
        .map(Candidate::served);
    let first = named[0].served();
    let candidates: Vec<_> = named
        .into_iter()
        .filter(|one| config.allowed(contract, &one.model, &one.version))
        .collect();
    match (candidates.is_empty(), withdrawn) {
        (false, _) => Ok(candidates),
        (true, Some(withdrawn)) => Err(Error::Withdrawn(withdrawn)),
        (true, None) => Err(Error::Forbidden(first)),
    }
}

fn keep_version(
    config: &Config,
    contract: &Contract,
    session: &Session,
    candidates: &mut Vec<Candidate>,
) -> Result<(), Error> {
    if session.customer != contract.customer {
        return Err(Error::Session);
    }
    let served = format!("{}@{}", session.model, session.version);
    if config.withdrawn(&session.model, &session.version) {
        return Err(Error::Withdrawn(served));
    }
    candidates.retain(|one| one.model == session.model && one.version == session.version);
    if candidates.is_empty() {
        return Err(Error::Forbidden(served));
    }
    Ok(())
}

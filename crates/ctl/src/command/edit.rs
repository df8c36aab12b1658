//! Commands that edit single objects: withdrawals, roll-outs and zones.

use crate::change::{Edits, fetch_config, submit};
use crate::client::Client;
use crate::error::Error;
use crate::options::{Change, Command, Direction};
use crate::output::Output;
use contract::{Config, Object, Rollout, Withdrawal, Zone};

/// Fetches the configuration and submits the edits of a command.
pub async fn run(client: &Client, command: Command, output: &Output) -> Result<(), Error> {
    let base = fetch_config(client).await?;
    let Some((edits, change)) = edits(command, &base)? else {
        return Ok(());
    };
    submit(client, &base, edits, change, output).await
}

fn edits(command: Command, base: &Config) -> Result<Option<(Edits, Change)>, Error> {
    Ok(Some(match command {
        Command::Pause { change, model } => (set_paused(base, model, true)?, change),
        Command::Remove { change, key } => (remove(base, key)?, change),
        Command::Restore { change, version } => (restore(base, &version)?, change),
        Command::Resume { change, model } => (set_paused(base, model, false)?, change),
        Command::Rollout {
            change,
            to,
            bad_answers,
            model,
        } => {
            let rollout = Rollout {
                bad_answers,
                model,
                paused: false,
                to,
            };
            (put(Object::Rollout(rollout)), change)
        }
        Command::Withdraw {
            change,
            reason,
            version,
        } => (withdraw(&version, reason)?, change),
        Command::Zone {
            change,
            direction,
            zone,
        } => {
            let out = direction == Direction::Out;
            (put(Object::Zone(Zone { name: zone, out })), change)
        }
        _ => return Ok(None),
    }))
}

fn put(object: Object) -> Edits {
    vec![(object.key(), Some(object))]
}

/// Splits `MODEL@VERSION`.
fn parse_version(version: &str) -> Result<(String, String), Error> {
    match version.split_once('@') {
        Some((model, name)) if !model.is_empty() && !name.is_empty() => {
            Ok((model.to_owned(), name.to_owned()))
        }
        _ => Err(Error::InvalidVersion(version.to_owned())),
    }
}

fn withdraw(version: &str, reason: String) -> Result<Edits, Error> {
    let (model, version) = parse_version(version)?;
    Ok(put(Object::Withdrawal(Withdrawal {
        model,
        reason,
        version,
    })))
}

fn restore(base: &Config, version: &str) -> Result<Edits, Error> {
    let (model, version) = parse_version(version)?;
    remove(base, format!("withdrawal/{model}@{version}"))
}

fn remove(base: &Config, key: String) -> Result<Edits, Error> {
    match base.get(&key) {
        Some(_) => Ok(vec![(key, None)]),
        None => Err(Error::NotFound(key)),
    }
}

fn set_paused(base: &Config, model: String, paused: bool) -> Result<Edits, Error> {
    let Some(rollout) = base.rollout(&model) else {
        return Err(Error::NotFound(format!("rollout/{model}")));
    };
    Ok(put(Object::Rollout(Rollout {
        paused,
        ..rollout.clone()
    })))
}

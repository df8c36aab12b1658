//! Routes for changes of the configuration.

use super::review::{Review, review};
use super::{Error, Operator};
use crate::app::App;
use crate::caller::read_body;
use crate::sync::{self, Accepted};
use contract::Revision;
use contract::check::{Finding, is_name};
use contract::operator::{Change, Outcome, State};
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{Data, State as Managed};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Maximum wait until the base revision of a change is applied on this node.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(1);

type Response = Result<(Status, Json<Outcome>), Error>;

/// `POST /operator/v1/changes`: puts or removes objects atomically.
#[rocket::post("/operator/v1/changes", data = "<data>")]
pub(super) async fn propose(
    app: &Managed<Arc<App>>,
    operator: Operator,
    data: Data<'_>,
) -> Response {
    let limit = app.settings.body_limit_bytes as usize;
    let body = read_body(data, limit, app.settings.header_timeout).await?;
    let change: Change = serde_json::from_slice(&body)?;
    if !is_name(&change.change) {
        return Err(Error::InvalidChangeId(change.change));
    }
    catch_up(app, change.base).await;
    let Review { entries, findings } = review(app.config(), change.entries).await?;
    if change.dry_run {
        let outcome = new_outcome(&change.change, None, State::Checked, Vec::new());
        return Ok((Status::Ok, Json(with_findings(outcome, &findings))));
    }
    let keys: Vec<_> = entries.iter().map(|entry| entry.key.as_str()).collect();
    let keys = keys.join(" ");
    let name = operator.name.as_str();
    let id = change.change.as_str();
    log::info!(event = 1601, change = id, operator = name; "change of {keys} requested");
    let proposed = app
        .replica
        .propose(change.change.clone(), change.base, entries)
        .await;
    let (status, outcome) = to_response(app, &change.change, proposed)?;
    Ok((status, Json(with_findings(outcome, &findings))))
}

/// `GET /operator/v1/changes/<id>`: returns the outcome of a change.
#[rocket::get("/operator/v1/changes/<id>")]
pub(super) async fn outcome(app: &Managed<Arc<App>>, _operator: Operator, id: &str) -> Response {
    let found = match app.replica.outcome(id).await {
        Ok(Some(accepted)) => Ok(accepted),
        Ok(None) => return Err(Error::UnknownChange(id.to_owned())),
        Err(error) => Err(error),
    };
    let (status, outcome) = to_response(app, id, found)?;
    Ok((status, Json(outcome)))
}

/// Waits until the base revision of a change is applied on this node. The operator may have read
/// it from another node.
async fn catch_up(app: &App, base: Option<Revision>) {
    let base = base.unwrap_or_default();
    let mut configs = app.replica.watch();
    let caught_up = configs.wait_for(|config| config.revision() >= base);
    // `propose` rejects a base that is not in the log.
    let _ = timeout(CATCH_UP_TIMEOUT, caught_up).await;
}

fn to_response(
    app: &App,
    change: &str,
    result: Result<Accepted, sync::Error>,
) -> Result<(Status, Outcome), Error> {
    match result {
        Ok(accepted) => {
            let state = match accepted.outstanding.is_empty() {
                true => State::InForce,
                false => State::Accepted,
            };
            let revision = Some(accepted.revision);
            let outcome = new_outcome(change, revision, state, accepted.outstanding);
            Ok((Status::Ok, outcome))
        }
        Err(sync::Error::Unacknowledged { revision }) => {
            let outstanding = app.replica.progress(revision).outstanding;
            let outcome = new_outcome(change, Some(revision), State::Written, outstanding);
            Ok((Status::Accepted, outcome))
        }
        Err(error) => Err(error.into()),
    }
}

fn new_outcome(
    change: &str,
    revision: Option<Revision>,
    state: State,
    outstanding: Vec<String>,
) -> Outcome {
    Outcome {
        change: change.to_owned(),
        findings: Vec::new(),
        outstanding,
        revision,
        state,
    }
}

fn with_findings(outcome: Outcome, findings: &[Finding]) -> Outcome {
    Outcome {
        findings: findings.iter().map(Into::into).collect(),
        ..outcome
    }
}

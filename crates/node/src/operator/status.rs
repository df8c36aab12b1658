//! Status of the fleet as seen from this node.

use super::Operator;
use crate::app::App;
use contract::Config;
use contract::operator::{Life, Offer, Peer, Place, Stage, Status};
use policy::plan;
use policy::planner::Row;
use rocket::State as Managed;
use rocket::serde::json::Json;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;
use view::State;

/// `GET /operator/v1/status`: returns members, zones, versions, and on which members the
/// configuration is not applied yet.
#[rocket::get("/operator/v1/status")]
pub(super) fn status(app: &Managed<Arc<App>>, _operator: Operator) -> Json<Status> {
    Json(read(app, Instant::now()))
}

/// Returns the status at a point in time.
pub(super) fn read(app: &App, now: Instant) -> Status {
    let config = app.config();
    let revision = config.revision();
    let outstanding = app.replica.progress(revision).outstanding;
    let members = members(app, &outstanding, now);
    Status {
        head_age_ms: app.replica.head_age(now).map(|age| age.as_millis() as u64),
        incarnation: app.incarnation,
        node: app.settings.node.clone(),
        revision,
        serving: app.replica.may_start(now).is_ok(),
        versions: versions(&config, &app.scheduler.dump().versions),
        zone: app.settings.zone.clone(),
        zones: zones(&config, &members),
        members,
        outstanding,
    }
}

fn members(app: &App, outstanding: &[String], now: Instant) -> Vec<Peer> {
    app.replica
        .members(now)
        .into_iter()
        .map(|member| Peer {
            outstanding: outstanding.contains(&member.node),
            state: member_state(member.state),
            http: member.http,
            node: member.node,
            zone: member.zone,
        })
        .collect()
}

fn member_state(state: State) -> Life {
    match state {
        State::Leaving => Life::Leaving,
        State::Live => Life::Live,
        State::Silent => Life::Silent,
    }
}

fn zones(config: &Config, members: &[Peer]) -> Vec<Place> {
    let mut count: BTreeMap<&str, u32> = BTreeMap::new();
    for zone in config.zones() {
        count.insert(&zone.name, 0);
    }
    for member in members {
        *count.entry(&member.zone).or_default() += 1;
    }
    count
        .into_iter()
        .map(|(name, members)| Place {
            members,
            name: name.to_owned(),
            out: config.is_zone_out(name),
        })
        .collect()
}

fn versions(config: &Config, rows: &[Row]) -> Vec<Offer> {
    config
        .models()
        .flat_map(|model| {
            model.versions.iter().map(|version| Offer {
                demoted: demoted_tasks(rows, &model.name, &version.name),
                model: model.name.clone(),
                stage: stage(config, &model.name, &version.name),
                version: version.name.clone(),
            })
        })
        .collect()
}

fn demoted_tasks(rows: &[Row], model: &str, version: &str) -> Vec<String> {
    rows.iter()
        .filter(|row| row.model == model && row.version == version)
        .filter(|row| row.status == plan::Status::Demoted)
        .map(|row| row.task.clone())
        .collect()
}

fn stage(config: &Config, model: &str, version: &str) -> Stage {
    if config.is_withdrawn(model, version) {
        return Stage::Withdrawn;
    }
    match config.rollout(model) {
        Some(rollout) if rollout.to == version && rollout.paused => Stage::Paused,
        Some(rollout) if rollout.to == version => Stage::RollingOut,
        _ => Stage::Live,
    }
}

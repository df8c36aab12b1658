//! Status of the fleet.

use crate::client::Client;
use crate::error::Error;
use crate::output::{Output, table};
use contract::operator::{Life, Peer, Stage, Status};

/// Prints members, zones and versions.
pub async fn run(client: &Client, output: &Output) -> Result<(), Error> {
    let status: Status = client.get("/status").await?;
    output.print(&status, || describe(&status));
    Ok(())
}

fn describe(status: &Status) -> String {
    let parts = [
        summary(status),
        table(&member_rows(status)),
        table(&zone_rows(status)),
        table(&version_rows(status)),
    ];
    parts.join("\n\n")
}

fn summary(status: &Status) -> String {
    let age = match status.head_age_ms {
        Some(age) => format!("head read {age} ms ago"),
        None => "head not read yet".to_owned(),
    };
    let outstanding = match status.outstanding.is_empty() {
        true => "in force at every member".to_owned(),
        false => format!("outstanding: {}", status.outstanding.join(", ")),
    };
    let serving = if status.serving {
        "serving"
    } else {
        "NOT serving"
    };
    format!(
        "node {} in zone {}, {serving}\nrevision {}, {age}, {outstanding}",
        status.node, status.zone, status.revision
    )
}

fn heading(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn member_rows(status: &Status) -> Vec<Vec<String>> {
    let mut rows = vec![heading(&["MEMBER", "ZONE", "HTTP", "STATE", "REVISION"])];
    rows.extend(status.members.iter().map(member_row));
    rows
}

fn member_row(peer: &Peer) -> Vec<String> {
    let state = match peer.state {
        Life::Leaving => "leaving",
        Life::Live => "live",
        Life::Silent => "silent",
    };
    let revision = if peer.outstanding {
        "outstanding"
    } else {
        "applied"
    };
    let (node, zone, http) = (peer.node.clone(), peer.zone.clone(), peer.http.clone());
    vec![node, zone, http, state.to_owned(), revision.to_owned()]
}

fn zone_rows(status: &Status) -> Vec<Vec<String>> {
    let mut rows = vec![heading(&["ZONE", "STATE", "MEMBERS"])];
    rows.extend(status.zones.iter().map(|zone| {
        let state = if zone.out { "out" } else { "in" };
        vec![
            zone.name.clone(),
            state.to_owned(),
            zone.members.to_string(),
        ]
    }));
    rows
}

fn version_rows(status: &Status) -> Vec<Vec<String>> {
    let mut rows = vec![heading(&["MODEL", "VERSION", "STAGE", "DEMOTED AT"])];
    rows.extend(status.versions.iter().map(|offer| {
        let stage = match offer.stage {
            Stage::Live => "live",
            Stage::Paused => "roll-out paused",
            Stage::RollingOut => "rolling out",
            Stage::Withdrawn => "withdrawn",
        };
        let demoted = offer.demoted.join(" ");
        vec![
            offer.model.clone(),
            offer.version.clone(),
            stage.to_owned(),
            demoted,
        ]
    }));
    rows
}

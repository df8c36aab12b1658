//! What control costs a node, and how fast changes and deaths are known everywhere.

pub mod members;

use crate::usage::{self, cpu_seconds, memory_mib, millis, quantile};
use bpaf::Bpaf;
use contract::{Object, Zone};
use serde::Serialize;
use serde_json::{Value, json};
use standin::Error;
use standin::fleet::{Edit, Fleet, Settings as FleetSettings};
use standin::history::Intent;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Key of operators in the fleet.
const OPERATOR_KEY: &str = "operator-key-of-tests";
const ZONES: usize = 4;
/// Members for which the view of one node is measured alone.
const MEMBERS: [usize; 4] = [7, 100, 300, 1100];
const LIMIT: Duration = Duration::from_secs(60);
const PAUSE: Duration = Duration::from_millis(2);

/// Settings of this measurement.
#[derive(Bpaf, Clone, Debug)]
pub struct Settings {
    /// Print JSON only
    json: bool,
    /// Node processes, several separated by commas
    #[bpaf(argument("COUNTS"), fallback("3,7,20".to_owned()))]
    nodes: String,
    /// Seconds of each window
    #[bpaf(argument("S"), fallback(10))]
    window: u64,
    /// Changes of configuration in the second window
    #[bpaf(argument("N"), fallback(40))]
    changes: usize,
}

/// What one fleet showed. Rates are a second, those of nodes the mean over nodes.
#[derive(Debug, Serialize)]
pub struct Row {
    pub nodes: usize,
    pub accepted_ms_p50: f64,
    pub accepted_ms_p99: f64,
    pub in_force_ms_p50: f64,
    pub in_force_ms_p99: f64,
    pub idle_platform_reads: f64,
    pub idle_platform_writes: f64,
    pub idle_node_bytes: f64,
    pub idle_node_core_percent: f64,
    pub node_memory_mib: f64,
    pub changes_a_second: f64,
    pub change_platform_reads: f64,
    pub change_platform_writes: f64,
    pub change_node_bytes: f64,
    pub change_node_core_percent: f64,
    pub death_noticed_ms: f64,
    pub rejoined_ms: f64,
}

/// Counters of a fleet at one time.
struct Sample {
    at: Instant,
    cpu_s: f64,
    memory_mib: f64,
    sent_bytes: f64,
    reads: f64,
    writes: f64,
}

/// Runs the measurement.
pub async fn run(settings: Settings) -> Result<(), Error> {
    let mut rows = Vec::new();
    for count in settings.nodes.split(',') {
        let count = count.trim().parse().map_err(|_| Error::Setting {
            name: "nodes",
            found: count.to_owned(),
            expected: "numbers separated by commas",
        })?;
        let window = Duration::from_secs(settings.window);
        let row = measure(count, window, settings.changes).await?;
        if !settings.json {
            eprintln!("{row:?}");
        }
        rows.push(row);
    }
    let views = MEMBERS.map(members::measure);
    let views = views.into_iter().collect::<Result<Vec<_>, _>>()?;
    let slopes = slopes(&rows);
    println!(
        "{}",
        serde_json::to_string_pretty(&json!({ "rows": rows, "slopes": slopes, "views": views }))?
    );
    Ok(())
}

/// Measures a fleet: a window without changes, one with them, a death and a return.
pub async fn measure(count: usize, window: Duration, changes: usize) -> Result<Row, Error> {
    let mut fleet = Fleet::start(fleet_settings(count)).await?;
    let client = reqwest::Client::new();
    joined(&fleet, &client, count).await?;
    let before = sample(&fleet, &client).await?;
    sleep(window).await;
    let idle = sample(&fleet, &client).await?;
    let pause = window / changes.max(1) as u32;
    let (mut accepted, mut in_force) = (Vec::new(), Vec::new());
    for number in 0..changes {
        let due = Instant::now() + pause;
        let (first, second) = change(&fleet, &client, number).await?;
        accepted.push(first);
        in_force.push(second);
        sleep(due.saturating_duration_since(Instant::now())).await;
    }
    let busy = sample(&fleet, &client).await?;
    let death_noticed_ms = death(&mut fleet, &client, count).await?;
    let rejoined_ms = rejoin(&mut fleet, &client, count).await?;
    let per_node = |rate: f64| rate / count as f64;
    Ok(Row {
        nodes: count,
        accepted_ms_p50: quantile(&mut accepted, 0.5),
        accepted_ms_p99: quantile(&mut accepted, 0.99),
        in_force_ms_p50: quantile(&mut in_force, 0.5),
        in_force_ms_p99: quantile(&mut in_force, 0.99),
        idle_platform_reads: rate(&before, &idle, |one| one.reads),
        idle_platform_writes: rate(&before, &idle, |one| one.writes),
        idle_node_bytes: per_node(rate(&before, &idle, |one| one.sent_bytes)),
        idle_node_core_percent: 100.0 * per_node(rate(&before, &idle, |one| one.cpu_s)),
        node_memory_mib: per_node(busy.memory_mib),
        changes_a_second: changes as f64 / (busy.at - idle.at).as_secs_f64(),
        change_platform_reads: rate(&idle, &busy, |one| one.reads),
        change_platform_writes: rate(&idle, &busy, |one| one.writes),
        change_node_bytes: per_node(rate(&idle, &busy, |one| one.sent_bytes)),
        change_node_core_percent: 100.0 * per_node(rate(&idle, &busy, |one| one.cpu_s)),
        death_noticed_ms,
        rejoined_ms,
    })
}

/// Nodes with the settings they have by default, and one backend server.
fn fleet_settings(count: usize) -> FleetSettings {
    let default = FleetSettings::default();
    let zones = (0..ZONES.min(count)).map(|index| {
        let share = count / ZONES.min(count) + usize::from(index < count % ZONES.min(count));
        (char::from(b'a' + index as u8).to_string(), share)
    });
    FleetSettings {
        zones: zones.collect(),
        engines: default.engines.into_iter().take(1).collect(),
        services: Vec::new(),
        flags: vec![("--workers".to_owned(), "2".to_owned())],
        ..FleetSettings::default()
    }
}

async fn dump(url: &str, client: &reqwest::Client, what: &str) -> Result<Value, Error> {
    let call = client.get(format!("{url}/operator/v1/{what}"));
    let answer = call.bearer_auth(OPERATOR_KEY).send().await?;
    Ok(answer.json().await?)
}

async fn joined(fleet: &Fleet, client: &reqwest::Client, count: usize) -> Result<(), Error> {
    let deadline = Instant::now() + LIMIT;
    for node in &fleet.nodes {
        let url = format!("http://{}", node.http);
        loop {
            let status = dump(&url, client, "status").await?;
            let members = status["members"].as_array().map_or(0, Vec::len);
            if members == count && is_in_force(&status) {
                break;
            }
            if Instant::now() > deadline {
                return Err(Error::Timeout("all nodes are members"));
            }
            sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}

/// An empty list of outstanding members is left out.
fn is_in_force(status: &Value) -> bool {
    status["outstanding"].as_array().is_none_or(Vec::is_empty)
}

async fn sample(fleet: &Fleet, client: &reqwest::Client) -> Result<Sample, Error> {
    let stats = fleet.platform.table.stats();
    let mut sample = Sample {
        at: Instant::now(),
        cpu_s: 0.0,
        memory_mib: 0.0,
        sent_bytes: 0.0,
        reads: stats.reads as f64,
        writes: stats.write_calls as f64,
    };
    for node in &fleet.nodes {
        let id = node.process.as_ref().and_then(|process| process.id());
        let Some(id) = id else { continue };
        sample.cpu_s += cpu_seconds(id)?;
        sample.memory_mib += memory_mib(id)?;
        let dump = dump(&format!("http://{}", node.http), client, "dump").await?;
        sample.sent_bytes += dump["replica"]["sent_bytes"].as_f64().unwrap_or_default();
    }
    Ok(sample)
}

/// Milliseconds from the call to accepted, and from there until all members have it.
async fn change(
    fleet: &Fleet,
    client: &reqwest::Client,
    number: usize,
) -> Result<(f64, f64), Error> {
    let node = number % fleet.nodes.len();
    let zone = Zone {
        name: "measured".to_owned(),
        out: number.is_multiple_of(2),
    };
    let start = Instant::now();
    let edit = Edit::Put(Object::Zone(zone));
    let intent = Intent::Zone {
        zone: "measured".to_owned(),
        out: number.is_multiple_of(2),
    };
    let change = fleet.change(node, edit, intent).await;
    let accepted = start.elapsed();
    let Some(revision) = change.revision else {
        return Err(Error::Timeout("a change is accepted"));
    };
    let url = format!("http://{}", fleet.nodes[node].http);
    let waited = Instant::now();
    while change.in_force_ms.is_none() {
        let status = dump(&url, client, "status").await?;
        let is_there = status["revision"].as_u64() >= Some(revision);
        if is_there && is_in_force(&status) {
            break;
        }
        if waited.elapsed() > LIMIT {
            return Err(Error::Timeout("a change is in force"));
        }
        sleep(PAUSE).await;
    }
    let in_force = match change.in_force_ms {
        Some(_) => Duration::ZERO,
        None => waited.elapsed(),
    };
    Ok((millis(accepted), millis(in_force)))
}

/// Milliseconds from the death of the last node until no other tells callers of it.
async fn death(fleet: &mut Fleet, client: &reqwest::Client, count: usize) -> Result<f64, Error> {
    let victim = format!("http://{}", fleet.nodes[count - 1].advertised());
    fleet.kill(count - 1).await?;
    let start = Instant::now();
    for node in &fleet.nodes[..count - 1] {
        loop {
            let call = client.get(format!("http://{}/v1/entries", node.http));
            let answer: Value = call.send().await?.json().await?;
            let is_told = answer["entries"]
                .as_array()
                .is_some_and(|entries| entries.iter().any(|one| *one == json!(victim)));
            if !is_told {
                break;
            }
            if start.elapsed() > LIMIT {
                return Err(Error::Timeout("a death is noticed"));
            }
            sleep(PAUSE).await;
        }
    }
    Ok(millis(start.elapsed()))
}

/// Milliseconds from the new start of the dead node until all count it as a member again.
async fn rejoin(fleet: &mut Fleet, client: &reqwest::Client, count: usize) -> Result<f64, Error> {
    let start = Instant::now();
    fleet.restart(count - 1).await?;
    let url = format!("http://{}", fleet.nodes[count - 1].http);
    while dump(&url, client, "dump").await?["replica"]["joined"] != json!(true) {
        if start.elapsed() > LIMIT {
            return Err(Error::Timeout("a node joins again"));
        }
        sleep(PAUSE).await;
    }
    joined(fleet, client, count).await?;
    Ok(millis(start.elapsed()))
}

fn rate(from: &Sample, to: &Sample, value: impl Fn(&Sample) -> f64) -> f64 {
    (value(to) - value(from)) / (to.at - from.at).as_secs_f64()
}

/// Growth a node, by least squares over the fleets.
fn slopes(rows: &[Row]) -> Value {
    let slope = |value: fn(&Row) -> f64| {
        let points: Vec<_> = rows
            .iter()
            .map(|row| (row.nodes as f64, value(row)))
            .collect();
        usage::line(&points).slope
    };
    json!({
        "platform_reads": slope(|row| row.idle_platform_reads),
        "platform_writes": slope(|row| row.idle_platform_writes),
        "node_bytes": slope(|row| row.idle_node_bytes),
        "node_core_percent": slope(|row| row.idle_node_core_percent),
        "node_memory_mib": slope(|row| row.node_memory_mib),
    })
}

//! Control of a node: fleets of real processes, and the view of one node with many members.

use super::row::Row;
use crate::control::{self, members};
use standin::Error;
use std::time::Duration;

/// Members of a view that is measured alone.
const MEMBERS: [usize; 5] = [7, 100, 300, 600, 1100];

/// The view of one node with eight links.
pub fn views() -> Result<Vec<Row>, Error> {
    let found = MEMBERS.map(members::measure);
    let found: Vec<_> = found.into_iter().collect::<Result<_, _>>()?;
    let row = |figure, unit, value: fn(&members::Row) -> f64| {
        let points = found.iter().map(|row| (row.members as f64, value(row)));
        Row::new("link relay", figure, "member", unit, points.collect())
    };
    Ok(vec![
        row("view: bytes sent", "B/s", |row| row.sent_bytes),
        row("view: bytes received", "B/s", |row| row.received_bytes),
        row("view: processor time", "% of a core", |row| {
            row.core_percent
        }),
    ])
}

/// Fleets of several sizes.
pub async fn fleets(counts: &str, window: Duration, changes: usize) -> Result<Vec<Row>, Error> {
    let mut found = Vec::new();
    for count in counts.split(',') {
        let count = count.trim().parse().map_err(|_| Error::Setting {
            name: "nodes",
            found: count.to_owned(),
            expected: "numbers separated by commas",
        })?;
        found.push(control::measure(count, window, changes).await?);
    }
    let row = |role, figure, unit, value: fn(&control::Row) -> f64| {
        let points = found.iter().map(|row| (row.nodes as f64, value(row)));
        Row::new(role, figure, "node", unit, points.collect())
    };
    Ok(vec![
        row("entry node", "idle: processor time", "% of a core", |row| {
            row.idle_node_core_percent
        }),
        row("entry node", "idle: memory", "MiB", |row| {
            row.node_memory_mib
        }),
        row("link relay", "idle: bytes sent", "B/s", |row| {
            row.idle_node_bytes
        }),
        row("platform table", "idle: reads", "1/s", |row| {
            row.idle_platform_reads
        }),
        row("platform table", "idle: writes", "1/s", |row| {
            row.idle_platform_writes
        }),
        row("operator path", "accepted, p50", "ms", |row| {
            row.accepted_ms_p50
        }),
        row("operator path", "accepted to in force, p99", "ms", |row| {
            row.in_force_ms_p99
        }),
        row("link relay", "death to noticed", "ms", |row| {
            row.death_noticed_ms
        }),
        row("entry node", "restart to joined", "ms", |row| {
            row.rejoined_ms
        }),
    ])
}

//! What was found, as a table and as JSON.

use super::load::Load;
use super::site::Used;
use super::streams::Open;
use crate::usage::{line, quantile};
use serde::Serialize;

const KIB_PER_MIB: f64 = 1024.0;
const MICROS_PER_SECOND: f64 = 1e6;

/// Quantiles of latency.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Spread {
    p50_ms: f64,
    p99_ms: f64,
    p999_ms: f64,
}

/// Requests straight to an engine and through a node, side by side.
#[derive(Debug, Serialize)]
pub struct Added {
    rate: u32,
    requests: usize,
    direct: Spread,
    node: Spread,
    added: Spread,
    first_byte_added: Spread,
    failed_direct: usize,
    failed_node: usize,
    /// Processor time of the node, its control included.
    cpu_us_per_request: f64,
    /// Writes to the table service, bills among them.
    table_writes_per_request: f64,
}

/// Everything that was found.
#[derive(Debug, Serialize)]
pub struct Report {
    whole: Vec<Added>,
    streamed: Added,
    highest_rate: u32,
    idle_mib: f64,
    open: Vec<Open>,
    kib_per_stream: f64,
}

impl Spread {
    fn of(values: &mut [f64]) -> Self {
        Self {
            p50_ms: quantile(values, 0.5),
            p99_ms: quantile(values, 0.99),
            p999_ms: quantile(values, 0.999),
        }
    }

    fn over(self, other: Self) -> Self {
        Self {
            p50_ms: self.p50_ms - other.p50_ms,
            p99_ms: self.p99_ms - other.p99_ms,
            p999_ms: self.p999_ms - other.p999_ms,
        }
    }
}

impl Added {
    /// Compares two loads of the same rate.
    pub fn new(rate: u32, mut direct: Load, mut node: Load, used: Used) -> Self {
        let requests = node.whole_ms.len() + node.failed;
        let first = Spread::of(&mut node.first_ms).over(Spread::of(&mut direct.first_ms));
        let (straight, through) = (
            Spread::of(&mut direct.whole_ms),
            Spread::of(&mut node.whole_ms),
        );
        Self {
            rate,
            requests,
            direct: straight,
            node: through,
            added: through.over(straight),
            first_byte_added: first,
            failed_direct: direct.failed,
            failed_node: node.failed,
            cpu_us_per_request: used.cpu_seconds * MICROS_PER_SECOND / requests.max(1) as f64,
            table_writes_per_request: used.table_writes / requests.max(1) as f64,
        }
    }

    fn print(&self, kind: &str) {
        println!(
            "{:<9} {:>6} {:>8}  {:>7.2} {:>7.2} {:>7.2}  {:>7.2} {:>7.2} {:>7.2}  {:>7.2} {:>7.2} {:>7.2}  {:>7.0} {:>6}/{}  {:>6.2}",
            kind,
            self.rate,
            self.requests,
            self.direct.p50_ms,
            self.direct.p99_ms,
            self.direct.p999_ms,
            self.added.p50_ms,
            self.added.p99_ms,
            self.added.p999_ms,
            self.first_byte_added.p50_ms,
            self.first_byte_added.p99_ms,
            self.first_byte_added.p999_ms,
            self.cpu_us_per_request,
            self.failed_node,
            self.failed_direct,
            self.table_writes_per_request,
        );
    }
}

impl Report {
    /// Puts the parts together.
    pub fn new(
        whole: Vec<Added>,
        streamed: Added,
        highest_rate: u32,
        idle_mib: f64,
        open: Vec<Open>,
    ) -> Self {
        let points: Vec<_> = open
            .iter()
            .map(|one| (f64::from(one.streams), one.memory_mib))
            .collect();
        Self {
            whole,
            streamed,
            highest_rate,
            idle_mib,
            kib_per_stream: line(&points).slope * KIB_PER_MIB,
            open,
        }
    }

    /// Prints a table.
    pub fn print(&self) {
        println!(
            "answers   rate/s requests  direct ms: p50     p99   p99.9  added ms: p50  p99  p99.9  first byte added: p50 p99 p99.9  cpu us  failed node/direct  writes"
        );
        for added in &self.whole {
            added.print("whole");
        }
        self.streamed.print("streamed");
        println!("highest rate held: {} requests/s", self.highest_rate);
        println!("memory at start: {:.1} MiB", self.idle_mib);
        for open in &self.open {
            println!(
                "memory at {:>5} open streams: {:.1} MiB",
                open.streams, open.memory_mib
            );
        }
        println!("memory a stream: {:.1} KiB", self.kib_per_stream);
    }
}

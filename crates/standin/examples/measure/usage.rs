//! Processor time and memory of processes, and statistics of samples.

use serde::Serialize;
use standin::Error;
use std::time::Duration;

/// Clock ticks a second in /proc.
const TICKS_PER_SECOND: f64 = 100.0;

/// A straight line.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Line {
    /// Growth for each step to the right.
    pub slope: f64,
    /// Value at zero.
    pub start: f64,
}

/// Processor time that a process has used.
pub fn cpu_seconds(id: u32) -> Result<f64, Error> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    let fields = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace();
    // User and system time are fields 14 and 15 of the line, of which two stand before the bracket.
    let ticks: f64 = fields
        .skip(11)
        .take(2)
        .filter_map(|one| one.parse::<f64>().ok())
        .sum();
    Ok(ticks / TICKS_PER_SECOND)
}

/// Resident memory of a process.
pub fn memory_mib(id: u32) -> Result<f64, Error> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    let kib: f64 = kib.and_then(|kib| kib.parse().ok()).unwrap_or_default();
    Ok(kib / 1024.0)
}

/// Milliseconds of a time.
pub fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

/// Value below which a share of the values lies; sorts them.
pub fn quantile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let place = (share * values.len() as f64).ceil() as usize;
    values
        .get(place.saturating_sub(1))
        .copied()
        .unwrap_or_default()
}

/// Line through points by least squares.
pub fn line(points: &[(f64, f64)]) -> Line {
    let count = points.len() as f64;
    let (mut x, mut y, mut xx, mut xy) = (0.0, 0.0, 0.0, 0.0);
    for (at, value) in points {
        x += at;
        y += value;
        xx += at * at;
        xy += at * value;
    }
    let slope = (count * xy - x * y) / (count * xx - x * x);
    let start = (y - slope * x) / count;
    Line { slope, start }
}

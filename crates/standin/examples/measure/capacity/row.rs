//! One slope.

use crate::usage::{Line, line};
use serde::Serialize;

/// How a figure of a role grows.
#[derive(Debug, Serialize)]
pub struct Row {
    role: &'static str,
    figure: &'static str,
    /// What the figure grows with.
    per: &'static str,
    unit: &'static str,
    #[serde(flatten)]
    line: Line,
    /// What was measured, by count.
    points: Vec<(f64, f64)>,
}

impl Row {
    /// Fits a line through what was measured.
    pub fn new(
        role: &'static str,
        figure: &'static str,
        per: &'static str,
        unit: &'static str,
        points: Vec<(f64, f64)>,
    ) -> Self {
        Self {
            role,
            figure,
            per,
            unit,
            line: line(&points),
            points,
        }
    }

    /// Prints a table.
    pub fn print(rows: &[Self]) {
        println!("| role | figure | unit | per | slope | at 0 | measured (count: value) |");
        println!("|---|---|---|---|---|---|---|");
        for row in rows {
            let points = row
                .points
                .iter()
                .map(|(count, value)| format!("{count}: {value:.3}"));
            println!(
                "| {} | {} | {} | {} | {:.6} | {:.3} | {} |",
                row.role,
                row.figure,
                row.unit,
                row.per,
                row.line.slope,
                row.line.start,
                points.collect::<Vec<_>>().join(", "),
            );
        }
    }
}

//! Scenarios of failures by seed.

use bpaf::Bpaf;
use serde::Serialize;
use standin::Error;
use standin::history::Promise;
use standin::scenario::{ALL, Report, Scenario};
use std::collections::BTreeMap;

/// Settings of this measurement.
#[derive(Bpaf, Clone, Debug)]
pub struct Settings {
    /// Seeds for each scenario
    #[bpaf(fallback(1))]
    seeds: u64,
    /// First seed
    #[bpaf(fallback(1))]
    first: u64,
    /// Only scenarios whose name contains this
    #[bpaf(fallback(String::new()))]
    only: String,
    /// Print JSON only
    json: bool,
}

/// Totals of one scenario over its seeds.
#[derive(Debug, Default, Serialize)]
struct Row {
    scenario: String,
    seeds: u64,
    sent: usize,
    answered: usize,
    delayed: usize,
    refused: usize,
    lost: usize,
    unreached: usize,
    violations: BTreeMap<Promise, usize>,
    /// Seeds that repeat a violation or a failure.
    repeat: Vec<u64>,
    failures: Vec<String>,
}

/// Runs the measurement.
pub async fn run(settings: Settings) -> Result<(), Error> {
    let chosen = ALL
        .iter()
        .filter(|scenario| scenario.name.contains(&settings.only));
    let mut rows = Vec::new();
    for scenario in chosen {
        let row = run_seeds(scenario, &settings).await;
        if !settings.json {
            row.print(rows.is_empty());
        }
        rows.push(row);
    }
    println!("{}", serde_json::to_string(&rows)?);
    Ok(())
}

async fn run_seeds(scenario: &Scenario, settings: &Settings) -> Row {
    let mut row = Row {
        scenario: scenario.name.to_owned(),
        ..Row::default()
    };
    for seed in settings.first..settings.first + settings.seeds {
        row.seeds += 1;
        match scenario.run(seed).await {
            Ok(report) => row.add(&report),
            Err(error) => {
                row.repeat.push(seed);
                row.failures.push(format!("seed {seed}: {error}"));
            }
        }
    }
    row
}

impl Row {
    fn add(&mut self, report: &Report) {
        let tally = &report.tally;
        self.sent += tally.sent;
        self.answered += tally.answered;
        self.delayed += tally.delayed;
        self.refused += tally.refused.values().sum::<usize>();
        self.lost += tally.lost;
        self.unreached += tally.unreached;
        for violation in &report.violations {
            *self.violations.entry(violation.promise).or_default() += 1;
        }
        if !report.passed() {
            self.repeat.push(report.seed);
            eprint!("{report}");
        }
        self.failures.extend(report.failures.clone());
    }

    fn print(&self, first: bool) {
        if first {
            println!(
                "{:<38} {:>5} {:>6} {:>8} {:>7} {:>7} {:>5} {:>9}  violations by promise; seeds to repeat",
                "scenario", "seeds", "sent", "answered", "delayed", "refused", "lost", "unreached"
            );
        }
        println!(
            "{:<38} {:>5} {:>6} {:>8} {:>7} {:>7} {:>5} {:>9}  {:?}; {:?}",
            self.scenario,
            self.seeds,
            self.sent,
            self.answered,
            self.delayed,
            self.refused,
            self.lost,
            self.unreached,
            self.violations,
            self.repeat,
        );
        for failure in &self.failures {
            println!("  {failure}");
        }
    }
}

//! Tables and JSON.

use super::scenario::{Kind, Scenario};
use super::site::Site;
use super::strategy::Strategy;
use super::tally::Tally;
use serde::Serialize;
use standin::Error;
use std::time::Duration;

/// Ratings of a bad version after which none of its answers should reach callers.
const RATINGS: usize = 100;

/// Share of the requests up to which a customer counts as small.
const SMALL: f64 = 0.05;

/// Figures of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    pub site: &'static str,
    pub scenario: &'static str,
    pub load: f64,
    pub strategy: &'static str,
    pub cost_micros: f64,
    pub good: f64,
    pub good_by_task: [f64; 3],
    pub refused: f64,
    pub late: f64,
    pub goodput: f64,
    /// Share of the answers whose customer got too few good ones at the task.
    pub missed: f64,
    /// Share of the requests answered in time of the least served small customer.
    pub small_served: f64,
    /// Milliseconds that 50, 95 and 99 in 100 answers keep, by task.
    pub latency_ms: [[u64; 3]; 3],
    pub cold_overruns: u32,
    /// What happened, in figures of its own.
    pub notes: Vec<(&'static str, f64)>,
}

/// Figures of all runs.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// Capacity of each site in requests a second.
    pub capacity: Vec<(&'static str, f64)>,
    pub rows: Vec<Row>,
}

impl Report {
    pub fn capacity(&mut self, site: &Site, rate: f64) {
        self.capacity.push((site.name, rate));
    }

    pub fn add(&mut self, site: &Site, scenario: &Scenario, strategy: &Strategy, tally: &Tally) {
        let targets = site.tasks.map(|task| task.target);
        let small = (0..site.customers.len()).filter(|one| site.customers[*one] <= SMALL);
        let latency = |task| [0.5, 0.95, 0.99].map(|share| tally.latency(task, share));
        self.rows.push(Row {
            site: site.name,
            scenario: scenario.name,
            load: scenario.load,
            strategy: strategy.name,
            cost_micros: tally.cost(),
            good: tally.good(),
            good_by_task: [0, 1, 2].map(|task| tally.good_at(task)),
            refused: tally.refused(),
            late: tally.late(),
            goodput: tally.goodput(),
            missed: tally.missed(&targets, site.customers.len()),
            small_served: tally.least_served(small),
            latency_ms: [0, 1, 2].map(latency),
            cold_overruns: tally.cold_overruns,
            notes: notes(scenario, tally),
        });
        self.progress();
    }

    /// Tells on the error stream how far the measurement is.
    fn progress(&self) {
        if let Some(row) = self.rows.last() {
            log::info!("{}, {}: {}", row.site, row.scenario, row.strategy);
        }
    }

    pub fn print(&self, json: bool) -> Result<(), Error> {
        if json {
            println!("{}", serde_json::to_string(self)?);
            return Ok(());
        }
        println!(
            "Decisions run in one process against a small model of load; no nodes, no sockets."
        );
        for (site, rate) in &self.capacity {
            println!("{site}: load 1 is {rate:.1} requests/s");
        }
        let mut title = None;
        for row in &self.rows {
            if title != Some((row.site, row.scenario)) {
                title = Some((row.site, row.scenario));
                heading(row);
            }
            line(row);
        }
        println!("\n{}", serde_json::to_string(self)?);
        Ok(())
    }
}

fn heading(row: &Row) {
    println!("\n{}, {}, load {}", row.site, row.scenario, row.load);
    println!(
        "{:18} {:>8} {:>6} {:>20} {:>7} {:>6} {:>8} {:>6} {:>6}  p50/p95/p99 ms of tag, answer, draft",
        "strategy",
        "cost",
        "good",
        "tag/answer/draft",
        "refused",
        "late",
        "goodput",
        "missed",
        "small"
    );
}

fn line(row: &Row) {
    let [tag, answer, draft] = row.good_by_task;
    let latency = row
        .latency_ms
        .map(|[p50, p95, p99]| format!("{p50}/{p95}/{p99}"));
    println!(
        "{:18} {:>8.1} {:>6.3} {:>20} {:>7.4} {:>6.4} {:>8.2} {:>6.3} {:>6.3}  {}",
        row.strategy,
        row.cost_micros,
        row.good,
        format!("{tag:.3}/{answer:.3}/{draft:.3}"),
        row.refused,
        row.late,
        row.goodput,
        row.missed,
        row.small_served,
        latency.join(" "),
    );
    for (name, value) in &row.notes {
        println!("{:18}   {name}: {value:.3}", "");
    }
}

fn notes(scenario: &Scenario, tally: &Tally) -> Vec<(&'static str, f64)> {
    match scenario.kind {
        Kind::Steady => Vec::new(),
        Kind::Bad => bad(tally),
        Kind::Zone => zone(tally),
        Kind::Sound | Kind::Unsound => rollout(tally),
    }
}

/// What a version that turned bad did.
fn bad(tally: &Tally) -> Vec<(&'static str, f64)> {
    let from = Scenario::from(tally.length);
    let before = tally.between(Duration::ZERO, from);
    let after = tally.between(from, tally.length);
    let mine = |tally: &Tally, session: bool| {
        let answers = tally.answers();
        let mine = answers.filter(|(_, answer)| answer.version == 0 && answer.session == session);
        mine.filter(|(_, answer)| !answer.good).count() as f64
    };
    let mut notes = vec![
        (
            "bad answers of the bad version, no session",
            mine(&after, false),
        ),
        (
            "bad answers of the bad version, sessions",
            mine(&after, true),
        ),
    ];
    let demotions = |what: &str| {
        let mut turns = tally.turns.iter();
        turns
            .find(|turn| turn.at >= from && turn.what == what)
            .map(|turn| turn.at)
    };
    if let Some(at) = demotions("Demoted") {
        notes.push(("seconds to the first demotion", (at - from).as_secs_f64()));
    }
    if let Some(at) = tally.ratings.get(RATINGS - 1) {
        let rest = tally.between(*at, tally.length);
        let answers = before.answers();
        let usual = answers.filter(|(_, answer)| answer.version == 0 && !answer.session);
        let rate = usual.count() as f64 / from.as_secs_f64();
        let expected = rate * (tally.length - *at).as_secs_f64();
        notes.push(("seconds to 100 ratings", (*at - from).as_secs_f64()));
        notes.push((
            "bad answers after 100 ratings by usual traffic",
            mine(&rest, false) / expected.max(1.0),
        ));
    }
    notes
}

/// Service while a zone leaves and returns, against before.
fn zone(tally: &Tally) -> Vec<(&'static str, f64)> {
    let (from, until) = (Scenario::from(tally.length), Scenario::until(tally.length));
    // Before the first reports and ratings are in, nothing is usual.
    let before = tally.between(from / 4, from);
    let during = tally.between(from, tally.length);
    let out = tally.between(from, until);
    let lost = during.late() + during.refused();
    let ratio = |task| during.latency(task, 0.95) as f64 / before.latency(task, 0.95).max(1) as f64;
    vec![
        ("refused or late from the leaving on", lost),
        ("refused while out", out.refused()),
        ("p95 of tags by usual", ratio(0)),
        ("p95 of answers by usual", ratio(1)),
        ("p95 of drafts by usual", ratio(2)),
    ]
}

/// What a trial cost and when it ended.
fn rollout(tally: &Tally) -> Vec<(&'static str, f64)> {
    let newer = || tally.answers().filter(|(_, answer)| answer.version == 3);
    let bad = newer().filter(|(_, answer)| !answer.good);
    let mut notes = vec![
        ("answers of the new version", newer().count() as f64),
        ("bad answers of the new version", bad.count() as f64),
    ];
    for (what, name) in [
        ("Promoted", "seconds to the first promotion"),
        ("Demoted", "seconds to the first demotion"),
        ("Exhausted", "seconds to the first exhausted budget"),
    ] {
        let mut turns = tally.turns.iter().filter(|turn| turn.version == "small@2");
        if let Some(turn) = turns.find(|turn| turn.what == what) {
            notes.push((name, turn.at.as_secs_f64()));
        }
    }
    notes
}

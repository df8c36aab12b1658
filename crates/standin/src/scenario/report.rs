//! What came of a scenario.

use crate::history::{History, Outcome, Violation};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// Requests answered later than this count as delayed.
const DELAYED_MS: u64 = 2_000;

/// What came of a scenario under a seed.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed, to repeat it.
    pub seed: u64,
    /// How requests ended.
    pub tally: Tally,
    /// Promises that didn't hold.
    pub violations: Vec<Violation>,
    /// What the scenario itself expected and didn't see.
    pub failures: Vec<String>,
    /// Folder with the output of the nodes.
    pub folder: String,
}

/// How requests ended.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Tally {
    /// Attempts sent.
    pub sent: usize,
    /// Whole answers.
    pub answered: usize,
    /// Whole answers that took long.
    pub delayed: usize,
    /// Typed refusals by code.
    pub refused: BTreeMap<String, usize>,
    /// Broken, timed out, or told that it is unknown whether the work ran.
    pub lost: usize,
    /// No connection.
    pub unreached: usize,
    /// Runs at backend servers.
    pub runs: usize,
    /// Bills.
    pub bills: usize,
}

impl Tally {
    /// Counts a history.
    ///
    /// ```
    /// use standin::{history::History, scenario::Tally};
    /// assert_eq!(Tally::of(&History::default()), Tally::default());
    /// ```
    pub fn of(history: &History) -> Self {
        let mut tally = Self {
            sent: history.requests.len(),
            runs: history.runs.len(),
            bills: history.bills.len(),
            ..Self::default()
        };
        for request in &history.requests {
            match &request.outcome {
                Outcome::Whole(_) => {
                    tally.answered += 1;
                    let took = request.ended_ms.saturating_sub(request.sent_ms);
                    tally.delayed += usize::from(took > DELAYED_MS);
                }
                Outcome::Refused { code, .. } => {
                    *tally.refused.entry(code.clone()).or_default() += 1;
                }
                Outcome::Unreached => tally.unreached += 1,
                Outcome::Broken(_) | Outcome::TimedOut => tally.lost += 1,
            }
        }
        tally
    }
}

impl Report {
    /// Whether every promise held and the scenario saw what it expected.
    pub fn passed(&self) -> bool {
        self.violations.is_empty() && self.failures.is_empty()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let tally = &self.tally;
        writeln!(
            formatter,
            "{} seed {}: sent {} answered {} delayed {} lost {} unreached {} refused {:?}, runs {} bills {}; nodes wrote to {}",
            self.scenario,
            self.seed,
            tally.sent,
            tally.answered,
            tally.delayed,
            tally.lost,
            tally.unreached,
            tally.refused,
            tally.runs,
            tally.bills,
            self.folder,
        )?;
        let lines = self.violations.iter().map(ToString::to_string);
        for line in lines.chain(self.failures.clone()) {
            writeln!(formatter, "  {line}")?;
        }
        Ok(())
    }
}

//! Explanation of a plan: why it was selected and the others were not.

use crate::plan::Shape;
use serde::Serialize;
use std::fmt::{self, Display, Formatter};

/// Rule by which a plan was selected.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// The cheapest plan that meets quality target and deadline.
    Met,
    /// One of two plans that meet the target on average and the deadline, at a lower cost than one
    /// plan alone that meets both.
    Mixed,
    /// The session's version.
    Session,
    /// A plan that starts with the version on trial.
    Trial,
    /// The cheapest plan that meets the deadline, because the budget is nearly spent.
    Frugal,
    /// No plan meets both target and deadline: the best quality that meets the deadline.
    BestQuality,
    /// No plan meets the deadline: the fastest.
    Fastest,
}

/// Reason for selecting or rejecting a plan.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Selected.
    Chosen,
    /// Suitable, but another plan is preferred, usually a cheaper one.
    Dearer,
    /// Expected to miss the quality target.
    BelowTarget,
    /// Expected to miss the deadline.
    Late,
    /// Costs more than the remaining budget.
    Unaffordable,
    /// A version has no backend server that accepts requests.
    NoServer,
    /// A version is on trial, and the request isn't selected for the trial.
    OnTrial,
    /// A version is demoted.
    Demoted,
    /// Not considered, because the session or the trial determines the version.
    NotAsked,
}

/// One of the plans that were compared.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Candidates that would answer.
    pub shape: Shape,
    /// Expected cost in micro-units of money.
    pub cost: f64,
    /// Lower bound on the expected quality, 0 to 1.
    pub quality: f64,
    /// Tail latency in milliseconds: the time within which about 95 % of the answers are complete.
    pub tail_ms: u64,
    /// Why the plan was selected or rejected.
    pub verdict: Verdict,
}

/// All plans that were compared, with names in place of indices.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Explanation {
    /// Rule by which the plan was selected.
    pub mode: Mode,
    /// Name of each candidate as `model@version`, in index order.
    pub candidates: Vec<String>,
    /// The plans that were compared.
    pub lines: Vec<Line>,
}

impl Explanation {
    fn name(&self, index: usize) -> &str {
        self.candidates.get(index).map_or("?", String::as_str)
    }
}

impl Display for Explanation {
    /// Writes a single line, short enough for a response header.
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "mode={:?}", self.mode)?;
        for line in &self.lines {
            match line.shape {
                Shape::Single(index) => write!(f, "; {}", self.name(index))?,
                Shape::Cascade { first, then } => {
                    write!(f, "; {}>{}", self.name(first), self.name(then))?;
                }
            }
            write!(
                f,
                " cost={:.0} quality={:.3} tail_ms={} {:?}",
                line.cost, line.quality, line.tail_ms, line.verdict
            )?;
        }
        Ok(())
    }
}

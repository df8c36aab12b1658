//! Why a plan was chosen and the others were not.

use crate::plan::Shape;
use serde::Serialize;
use std::fmt::{self, Display, Formatter};

/// Under which rule a plan was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// The cheapest plan that meets the target in time.
    Met,
    /// One of two plans that together meet the target in time at the lowest cost.
    Mixed,
    /// The session's version.
    Session,
    /// The version on trial.
    Trial,
    /// The cheapest plan, because the budget nears its end.
    Frugal,
    /// No plan meets the target in time: the best quality in time.
    BestQuality,
    /// No plan is in time: the fastest.
    Fastest,
}

/// Why a plan was or wasn't chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It was chosen.
    Chosen,
    /// It would do, and another is cheaper.
    Dearer,
    /// It is expected to miss the quality target.
    BelowTarget,
    /// It is expected to miss the deadline.
    Late,
    /// It costs more than is left of the budget.
    Unaffordable,
    /// No backend server takes requests.
    NoServer,
    /// It is on trial, and this request isn't drawn for it.
    OnTrial,
    /// It was found bad.
    Demoted,
    /// The session, the trial or the budget decided.
    NotAsked,
}

/// One plan that was weighed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Which candidates would answer.
    pub shape: Shape,
    /// Expected cost in micro-units of money.
    pub cost: f64,
    /// Lower bound on the expected quality, 0 to 1.
    pub quality: f64,
    /// Time in milliseconds that nearly all answers keep.
    pub tail_ms: u64,
    /// Why it was or wasn't chosen.
    pub verdict: Verdict,
}

/// Every plan that was weighed, with names in place of indices.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Explanation {
    /// Under which rule the plan was chosen.
    pub mode: Mode,
    /// `model@version` of each candidate, in the order of the indices.
    pub candidates: Vec<String>,
    /// The plans that were weighed.
    pub lines: Vec<Line>,
}

impl Explanation {
    fn name(&self, index: usize) -> &str {
        self.candidates.get(index).map_or("?", String::as_str)
    }
}

impl Display for Explanation {
    /// One line of text, short enough for a response header.
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "mode={:?}", self.mode)?;
        for line in &self.lines {
            match line.shape {
                Shape::Single(one) => write!(f, "; {}", self.name(one))?,
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

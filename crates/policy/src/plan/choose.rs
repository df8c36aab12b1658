//! The choice of a plan.

use crate::Refusal;
use crate::plan::mix::Mix;
use crate::plan::option::Choice;
use crate::plan::{Budget, Candidate, Explanation, Line, Mode, Request, Shape, Status, Verdict};
use contract::Micros;
use std::cmp::Ordering;
use std::time::Duration;

/// The plan of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Which candidates answer.
    pub shape: Shape,
    /// Under which rule it was chosen.
    pub mode: Mode,
    /// Expected cost in micro-units of money.
    pub cost: f64,
    /// Lower bound on the expected quality, 0 to 1.
    pub quality: f64,
    /// Expected time to the answer.
    pub latency: Duration,
    lines: Vec<Line>,
}

impl Plan {
    /// Why this plan was chosen and the others were not. The candidates are those of the choice.
    ///
    /// ```
    /// # use policy::plan::{choose, Candidate, Request, Status};
    /// # use policy::quality::Estimate;
    /// # use std::time::Duration;
    /// let small = Candidate {
    ///     model: "small", version: "1", cost: 10, ready: true, status: Status::Serving,
    ///     latency: Duration::from_millis(80), tail_latency: Duration::from_millis(200),
    ///     quality: Estimate::exact(0.95), escalated_quality: Estimate::exact(0.9),
    /// };
    /// let plan = choose(&Request::default(), &[small])?;
    /// assert!(plan.explain(&[small]).to_string().contains("small@1"));
    /// # Ok::<(), policy::Refusal>(())
    /// ```
    pub fn explain(&self, candidates: &[Candidate]) -> Explanation {
        let candidates = candidates
            .iter()
            .map(|one| format!("{}@{}", one.model, one.version))
            .collect();
        Explanation {
            mode: self.mode,
            candidates,
            lines: self.lines.clone(),
        }
    }
}

/// Chooses the cheapest plan that is expected to meet the target in time; where none does, the best.
/// The candidates must be allowed by the contract; no other version is ever chosen.
///
/// ```
/// use policy::plan::{choose, Candidate, Request, Shape, Status};
/// use policy::quality::Estimate;
/// use std::time::Duration;
///
/// let small = Candidate {
///     model: "small", version: "1", cost: 10, ready: true, status: Status::Serving,
///     latency: Duration::from_millis(80), tail_latency: Duration::from_millis(200),
///     quality: Estimate::exact(0.8), escalated_quality: Estimate::exact(0.8),
/// };
/// let large = Candidate {
///     model: "large", cost: 100,
///     quality: Estimate::exact(0.97), escalated_quality: Estimate::exact(0.9), ..small
/// };
/// let request = Request { rating_latency: Some(Duration::from_millis(20)), ..Default::default() };
/// let plan = choose(&request, &[small, large])?;
/// assert_eq!(plan.shape, Shape::Cascade { first: 0, then: 1 });
/// # Ok::<(), policy::Refusal>(())
/// ```
pub fn choose(request: &Request, candidates: &[Candidate]) -> Result<Plan, Refusal> {
    if candidates.is_empty() && request.session.is_none() {
        return Err(Refusal::Forbidden);
    }
    let choices = choices(request, candidates);
    let (mode, chosen) = match request.session {
        Some(session) => (Mode::Session, keep(session, candidates, &choices)?),
        None => pick(request, candidates, &choices)?,
    };
    let lines = choices
        .iter()
        .map(|one| line(request, candidates, mode, &chosen, one))
        .collect();
    Ok(Plan {
        shape: chosen.shape,
        mode,
        cost: chosen.cost,
        quality: chosen.quality,
        latency: chosen.latency,
        lines,
    })
}

fn choices(request: &Request, candidates: &[Candidate]) -> Vec<Choice> {
    let mut choices = Vec::with_capacity(candidates.len() * candidates.len());
    for (index, candidate) in candidates.iter().enumerate() {
        choices.push(Choice::single(request, index, candidate));
    }
    let Some(rating) = request.rating_latency.filter(|_| request.allow_cascade) else {
        return choices;
    };
    for (first, cheap) in candidates.iter().enumerate() {
        for (then, better) in candidates.iter().enumerate() {
            if first != then && cheap.cost < better.cost {
                choices.push(Choice::cascade(request, candidates, first, then, rating));
            }
        }
    }
    choices
}

/// The session's version, which stays as long as it is among the candidates.
fn keep(
    (model, version): (&str, &str),
    candidates: &[Candidate],
    choices: &[Choice],
) -> Result<Choice, Refusal> {
    let index = candidates
        .iter()
        .position(|one| one.model == model && one.version == version)
        .ok_or_else(|| Refusal::Session {
            model: model.to_owned(),
            version: version.to_owned(),
        })?;
    if !candidates[index].ready {
        return Err(Refusal::Unavailable);
    }
    Ok(choices[index])
}

fn pick(
    request: &Request,
    candidates: &[Candidate],
    choices: &[Choice],
) -> Result<(Mode, Choice), Refusal> {
    let open = |status: &[Status]| {
        let usable = choices
            .iter()
            .filter(|one| usable(candidates, one.shape, status));
        usable.copied().collect::<Vec<_>>()
    };
    if let Some(trial) = request.trial {
        let tried = open(&[Status::Serving, Status::Trial]);
        if let Some(choice) = on_trial(request, trial, &tried) {
            return Ok((Mode::Trial, choice));
        }
    }
    let mut open_choices = open(&[Status::Serving]);
    if open_choices.is_empty() {
        open_choices = open(&[Status::Serving, Status::Trial]);
    }
    if open_choices.is_empty() {
        open_choices = open(&[Status::Serving, Status::Trial, Status::Demoted]);
    }
    if open_choices.is_empty() {
        return Err(Refusal::Unavailable);
    }
    afford(request, &mut open_choices)?;
    Ok(best(request, &open_choices))
}

/// A trial answers behind a rating where it may, else alone.
fn on_trial(request: &Request, trial: usize, choices: &[Choice]) -> Option<Choice> {
    let mut mine = choices.iter().filter(|one| one.shape.first() == trial);
    let gated = mine.clone().filter(|one| {
        let cascade = matches!(one.shape, Shape::Cascade { .. });
        cascade && one.in_time(request) && one.good_enough(request)
    });
    gated
        .min_by(|a, b| a.cost.total_cmp(&b.cost))
        .or_else(|| mine.next())
        .filter(|one| affordable(request, one))
        .copied()
}

fn usable(candidates: &[Candidate], shape: Shape, status: &[Status]) -> bool {
    let fits = |index: usize| {
        let candidate = &candidates[index];
        candidate.ready && status.contains(&candidate.status)
    };
    match shape {
        Shape::Single(one) => fits(one),
        Shape::Cascade { first, then } => fits(first) && fits(then),
    }
}

fn affordable(request: &Request, choice: &Choice) -> bool {
    match request.budget {
        Budget::Ample => true,
        Budget::Low(left) => choice.cost <= left as f64,
    }
}

fn afford(request: &Request, choices: &mut Vec<Choice>) -> Result<(), Refusal> {
    let Budget::Low(left) = request.budget else {
        return Ok(());
    };
    let cheapest = choices.iter().map(|one| one.cost).fold(f64::MAX, f64::min);
    choices.retain(|one| affordable(request, one));
    if choices.is_empty() {
        let cheapest = cheapest.ceil() as Micros;
        return Err(Refusal::Budget { left, cheapest });
    }
    Ok(())
}

fn best(request: &Request, choices: &[Choice]) -> (Mode, Choice) {
    let in_time = choices.iter().filter(|one| one.in_time(request));
    let frugal = in_time
        .clone()
        .filter(|_| matches!(request.budget, Budget::Low(_)));
    if let Some(choice) = frugal.min_by(|a, b| by_cost(a, b)) {
        return (Mode::Frugal, *choice);
    }
    let met = in_time.clone().filter(|one| one.good_enough(request));
    if let Some(choice) = met.min_by(|a, b| by_cost(a, b)) {
        let mix = Mix::cheapest(request, in_time, choice.cost);
        return mix.map_or((Mode::Met, *choice), |mix| (Mode::Mixed, mix.draw(request)));
    }
    let best = in_time.max_by(|a, b| a.quality.total_cmp(&b.quality).then(by_cost(b, a)));
    if let Some(choice) = best {
        return (Mode::BestQuality, *choice);
    }
    let fastest = choices
        .iter()
        .min_by(|a, b| a.tail_latency.cmp(&b.tail_latency).then(by_cost(a, b)));
    (
        Mode::Fastest,
        *fastest.expect("the caller passes at least one choice"),
    )
}

fn by_cost(a: &Choice, b: &Choice) -> Ordering {
    a.cost
        .total_cmp(&b.cost)
        .then(a.tail_latency.cmp(&b.tail_latency))
}

fn line(
    request: &Request,
    candidates: &[Candidate],
    mode: Mode,
    chosen: &Choice,
    choice: &Choice,
) -> Line {
    let verdict = if choice.shape == chosen.shape {
        Verdict::Chosen
    } else {
        verdict(request, candidates, mode, choice)
    };
    Line {
        shape: choice.shape,
        cost: choice.cost,
        quality: choice.quality,
        tail_ms: choice.tail_latency.as_millis() as u64,
        verdict,
    }
}

fn verdict(request: &Request, candidates: &[Candidate], mode: Mode, choice: &Choice) -> Verdict {
    if !usable(
        candidates,
        choice.shape,
        &[Status::Serving, Status::Trial, Status::Demoted],
    ) {
        return Verdict::NoServer;
    }
    if !usable(candidates, choice.shape, &[Status::Serving, Status::Trial]) {
        return Verdict::Demoted;
    }
    if !usable(candidates, choice.shape, &[Status::Serving]) {
        return Verdict::OnTrial;
    }
    if !affordable(request, choice) {
        return Verdict::Unaffordable;
    }
    if !choice.in_time(request) {
        return Verdict::Late;
    }
    if !choice.good_enough(request) {
        return Verdict::BelowTarget;
    }
    match mode {
        Mode::Session | Mode::Trial => Verdict::NotAsked,
        _ => Verdict::Dearer,
    }
}

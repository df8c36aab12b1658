//! Selection of a plan.

use crate::Refusal;
use crate::plan::alternative::Alternative;
use crate::plan::mix::Mix;
use crate::plan::{Budget, Candidate, Explanation, Line, Mode, Request, Shape, Status, Verdict};
use contract::Micros;
use std::cmp::Ordering;
use std::time::Duration;

/// The plan for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Candidates that answer.
    pub shape: Shape,
    /// Rule by which the plan was selected.
    pub mode: Mode,
    /// Expected cost in micro-units of money.
    pub cost: f64,
    /// Lower bound on the expected quality, 0 to 1.
    pub quality: f64,
    /// Expected time until the answer is complete.
    pub latency: Duration,
    lines: Vec<Line>,
}

impl Plan {
    /// Explains why this plan was selected and the others were not. `candidates` must be those
    /// passed to [`choose`].
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
            .map(|candidate| format!("{}@{}", candidate.model, candidate.version))
            .collect();
        Explanation {
            mode: self.mode,
            candidates,
            lines: self.lines.clone(),
        }
    }
}

/// Selects the cheapest plan that is expected to meet the quality target and the deadline, or the
/// best available one if none does. Only the given candidates are used, so they must be allowed by
/// the contract.
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
    let alternatives = alternatives(request, candidates);
    let (mode, chosen) = match request.session {
        Some(session) => (
            Mode::Session,
            session_plan(session, candidates, &alternatives)?,
        ),
        None => select(request, candidates, &alternatives)?,
    };
    let lines = alternatives
        .iter()
        .map(|alternative| explain_line(request, candidates, mode, &chosen, alternative))
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

/// Lists all plans: first the single versions in the order of the candidates, then the cascades from
/// a cheaper to a more expensive version.
fn alternatives(request: &Request, candidates: &[Candidate]) -> Vec<Alternative> {
    let mut alternatives = Vec::with_capacity(candidates.len() * candidates.len());
    for (index, candidate) in candidates.iter().enumerate() {
        alternatives.push(Alternative::single(request, index, candidate));
    }
    let Some(rating_latency) = request.rating_latency.filter(|_| request.allow_cascade) else {
        return alternatives;
    };
    for (first, cheap) in candidates.iter().enumerate() {
        for (then, better) in candidates.iter().enumerate() {
            if first != then && cheap.cost < better.cost {
                alternatives.push(Alternative::cascade(
                    request,
                    candidates,
                    first,
                    then,
                    rating_latency,
                ));
            }
        }
    }
    alternatives
}

/// Returns the plan with the session's version. A session keeps its version as long as it is among
/// the candidates, whatever its status.
fn session_plan(
    (model, version): (&str, &str),
    candidates: &[Candidate],
    alternatives: &[Alternative],
) -> Result<Alternative, Refusal> {
    let index = candidates
        .iter()
        .position(|candidate| candidate.model == model && candidate.version == version)
        .ok_or_else(|| Refusal::Session {
            model: model.to_owned(),
            version: version.to_owned(),
        })?;
    if !candidates[index].ready {
        return Err(Refusal::Unavailable);
    }
    Ok(alternatives[index])
}

/// Selects a plan for a request without a session. Versions on trial and then demoted ones are used
/// only if no other version has a server.
fn select(
    request: &Request,
    candidates: &[Candidate],
    alternatives: &[Alternative],
) -> Result<(Mode, Alternative), Refusal> {
    let with_status = |statuses: &[Status]| {
        let usable = alternatives
            .iter()
            .filter(|alternative| is_usable(candidates, alternative.shape, statuses));
        usable.copied().collect::<Vec<_>>()
    };
    if let Some(trial) = request.trial {
        let usable = with_status(&[Status::Serving, Status::Trial]);
        if let Some(alternative) = trial_plan(request, trial, &usable) {
            return Ok((Mode::Trial, alternative));
        }
    }
    let mut usable = with_status(&[Status::Serving]);
    if usable.is_empty() {
        usable = with_status(&[Status::Serving, Status::Trial]);
    }
    if usable.is_empty() {
        usable = with_status(&[Status::Serving, Status::Trial, Status::Demoted]);
    }
    if usable.is_empty() {
        return Err(Refusal::Unavailable);
    }
    retain_affordable(request, &mut usable)?;
    Ok(select_best(request, &usable))
}

/// Returns the plan for a request on trial: the cheapest cascade that meets target and deadline, or
/// else the version alone.
fn trial_plan(
    request: &Request,
    trial: usize,
    alternatives: &[Alternative],
) -> Option<Alternative> {
    let mut starting_with_trial = alternatives
        .iter()
        .filter(|alternative| alternative.shape.first() == trial);
    let cascades = starting_with_trial.clone().filter(|alternative| {
        let cascade = matches!(alternative.shape, Shape::Cascade { .. });
        cascade && alternative.meets_deadline(request) && alternative.meets_target(request)
    });
    cascades
        .min_by(|a, b| a.cost.total_cmp(&b.cost))
        .or_else(|| starting_with_trial.next())
        .filter(|alternative| is_affordable(request, alternative))
        .copied()
}

/// Returns whether all versions of a plan accept requests and have one of the given statuses.
fn is_usable(candidates: &[Candidate], shape: Shape, statuses: &[Status]) -> bool {
    let is_candidate_usable = |index: usize| {
        let candidate = &candidates[index];
        candidate.ready && statuses.contains(&candidate.status)
    };
    match shape {
        Shape::Single(index) => is_candidate_usable(index),
        Shape::Cascade { first, then } => is_candidate_usable(first) && is_candidate_usable(then),
    }
}

fn is_affordable(request: &Request, alternative: &Alternative) -> bool {
    match request.budget {
        Budget::Ample => true,
        Budget::Low(left) => alternative.cost <= left as f64,
    }
}

fn retain_affordable(
    request: &Request,
    alternatives: &mut Vec<Alternative>,
) -> Result<(), Refusal> {
    let Budget::Low(left) = request.budget else {
        return Ok(());
    };
    let cheapest = alternatives
        .iter()
        .map(|alternative| alternative.cost)
        .fold(f64::MAX, f64::min);
    alternatives.retain(|alternative| is_affordable(request, alternative));
    if alternatives.is_empty() {
        let cheapest = cheapest.ceil() as Micros;
        return Err(Refusal::Budget { left, cheapest });
    }
    Ok(())
}

/// Selects the best of the affordable plans; there must be at least one.
fn select_best(request: &Request, alternatives: &[Alternative]) -> (Mode, Alternative) {
    let meeting_deadline = alternatives
        .iter()
        .filter(|alternative| alternative.meets_deadline(request));
    let frugal = meeting_deadline
        .clone()
        .filter(|_| matches!(request.budget, Budget::Low(_)));
    if let Some(alternative) = frugal.min_by(|a, b| by_cost(a, b)) {
        return (Mode::Frugal, *alternative);
    }
    let met = meeting_deadline
        .clone()
        .filter(|alternative| alternative.meets_target(request));
    if let Some(alternative) = met.min_by(|a, b| by_cost(a, b)) {
        let mix = Mix::cheapest(request, meeting_deadline, alternative.cost);
        return mix.map_or((Mode::Met, *alternative), |mix| {
            (Mode::Mixed, mix.select(request))
        });
    }
    let best = meeting_deadline.max_by(|a, b| a.quality.total_cmp(&b.quality).then(by_cost(b, a)));
    if let Some(alternative) = best {
        return (Mode::BestQuality, *alternative);
    }
    let fastest = alternatives
        .iter()
        .min_by(|a, b| a.tail_latency.cmp(&b.tail_latency).then(by_cost(a, b)));
    (
        Mode::Fastest,
        *fastest.expect("the caller passes at least one alternative"),
    )
}

/// Orders plans by cost, then by tail latency.
fn by_cost(a: &Alternative, b: &Alternative) -> Ordering {
    a.cost
        .total_cmp(&b.cost)
        .then(a.tail_latency.cmp(&b.tail_latency))
}

fn explain_line(
    request: &Request,
    candidates: &[Candidate],
    mode: Mode,
    chosen: &Alternative,
    alternative: &Alternative,
) -> Line {
    let verdict = if alternative.shape == chosen.shape {
        Verdict::Chosen
    } else {
        verdict(request, candidates, mode, alternative)
    };
    Line {
        shape: alternative.shape,
        cost: alternative.cost,
        quality: alternative.quality,
        tail_ms: alternative.tail_latency.as_millis() as u64,
        verdict,
    }
}

fn verdict(
    request: &Request,
    candidates: &[Candidate],
    mode: Mode,
    alternative: &Alternative,
) -> Verdict {
    if !is_usable(
        candidates,
        alternative.shape,
        &[Status::Serving, Status::Trial, Status::Demoted],
    ) {
        return Verdict::NoServer;
    }
    if !is_usable(
        candidates,
        alternative.shape,
        &[Status::Serving, Status::Trial],
    ) {
        return Verdict::Demoted;
    }
    if !is_usable(candidates, alternative.shape, &[Status::Serving]) {
        return Verdict::OnTrial;
    }
    if !is_affordable(request, alternative) {
        return Verdict::Unaffordable;
    }
    if !alternative.meets_deadline(request) {
        return Verdict::Late;
    }
    if !alternative.meets_target(request) {
        return Verdict::BelowTarget;
    }
    match mode {
        Mode::Session | Mode::Trial => Verdict::NotAsked,
        _ => Verdict::Dearer,
    }
}

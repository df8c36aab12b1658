//! Selection of plans.

use policy::Refusal;
use policy::plan::{Budget, Candidate, Mode, Request, Shape, Status, Verdict, choose};
use policy::quality::Estimate;
use proptest::prelude::*;
use std::time::Duration;

mod case;

const RATING: Option<Duration> = Some(Duration::from_millis(20));

fn candidate(version: &'static str, cost: u64, quality: f64, tail_ms: u64) -> Candidate<'static> {
    Candidate {
        model: "m",
        version,
        cost,
        latency: Duration::from_millis(tail_ms / 2),
        tail_latency: Duration::from_millis(tail_ms),
        quality: Estimate::exact(quality),
        escalated_quality: Estimate::exact(quality),
        ready: true,
        status: Status::Serving,
    }
}

fn fleet() -> [Candidate<'static>; 3] {
    [
        candidate("cheap", 10, 0.7, 1_000),
        candidate("middle", 40, 0.92, 2_000),
        candidate("best", 200, 0.98, 4_000),
    ]
}

fn request() -> Request<'static> {
    Request {
        target: 0.9,
        rating_latency: RATING,
        ..Default::default()
    }
}

fn check_plan(request: Request, candidates: &[Candidate], mode: Mode, shape: Shape) {
    let plan = choose(&request, candidates).expect("a plan");
    assert_eq!(
        (plan.mode, plan.shape),
        (mode, shape),
        "{}",
        plan.explain(candidates)
    );
}

fn check_refusal(request: Request, candidates: &[Candidate], expected: Refusal) {
    assert_eq!(choose(&request, candidates), Err(expected));
}

fn fleet_with(change: impl Fn(&mut [Candidate<'static>; 3])) -> [Candidate<'static>; 3] {
    let mut candidates = fleet();
    change(&mut candidates);
    candidates
}

cases! { check_plan =>
    a_cascade_is_cheapest: request(), &fleet(), Mode::Met, Shape::Cascade { first: 0, then: 1 };
    no_cascade_without_ratings: Request { rating_latency: None, ..request() }, &fleet(),
        Mode::Met, Shape::Single(1);
    no_cascade_where_the_contract_forbids_it: Request { allow_cascade: false, ..request() }, &fleet(),
        Mode::Met, Shape::Single(1);
    a_low_target_takes_the_cheapest: Request { target: 0.6, ..request() }, &fleet(),
        Mode::Met, Shape::Single(0);
    a_short_deadline_goes_straight_to_the_better:
        Request { deadline: Duration::from_millis(2_010), ..request() }, &fleet(),
        Mode::Met, Shape::Single(1);
    an_unreachable_target_takes_the_best_quality: Request { target: 0.9999, ..request() }, &fleet(),
        Mode::BestQuality, Shape::Cascade { first: 1, then: 2 };
    an_unreachable_deadline_takes_the_fastest: Request { deadline: Duration::from_millis(1), ..request() },
        &fleet(), Mode::Fastest, Shape::Single(0);
    a_session_keeps_its_version: Request { session: Some(("m", "cheap")), ..request() }, &fleet(),
        Mode::Session, Shape::Single(0);
    a_session_keeps_a_demoted_version: Request { session: Some(("m", "cheap")), ..request() },
        &fleet_with(|all| all[0].status = Status::Demoted), Mode::Session, Shape::Single(0);
    a_low_budget_takes_the_cheapest: Request { budget: Budget::Low(300), ..request() }, &fleet(),
        Mode::Frugal, Shape::Single(0);
    a_demoted_version_is_skipped: request(),
        &fleet_with(|all| all[0].status = Status::Demoted), Mode::Met, Shape::Single(1);
    a_demoted_version_is_the_last_resort: Request { allow_cascade: false, ..request() },
        &fleet_with(|all| { all[0].status = Status::Demoted; all[1].ready = false; all[2].ready = false; }),
        Mode::BestQuality, Shape::Single(0);
    a_version_on_trial_needs_a_selected_request: request(),
        &fleet_with(|all| all[0].status = Status::Trial), Mode::Met, Shape::Single(1);
    a_selected_trial_is_gated_by_a_rating: Request { trial: Some(0), ..request() },
        &fleet_with(|all| all[0].status = Status::Trial),
        Mode::Trial, Shape::Cascade { first: 0, then: 1 };
    a_selected_trial_answers_alone_without_ratings: Request { trial: Some(0), rating_latency: None, ..request() },
        &fleet_with(|all| all[0].status = Status::Trial), Mode::Trial, Shape::Single(0);
    a_version_without_servers_is_skipped: request(), &fleet_with(|all| all[1].ready = false),
        Mode::Met, Shape::Cascade { first: 0, then: 2 };
}

fn mixed(random: f64) -> Request<'static> {
    Request {
        allow_cascade: false,
        quality_slack: 0.25,
        random,
        ..request()
    }
}

// With qualities of 0.7 and 0.92, 1 in 11 requests can go to the cheap version at a target of 0.9.
cases! { check_plan =>
    a_mix_takes_the_cheap_plan_for_a_share: mixed(0.08), &fleet(), Mode::Mixed, Shape::Single(0);
    a_mix_takes_the_better_plan_otherwise: mixed(0.1), &fleet(), Mode::Mixed, Shape::Single(1);
    no_mix_with_a_plan_far_below_the_target: Request { quality_slack: 0.1, ..mixed(0.08) }, &fleet(),
        Mode::Met, Shape::Single(1);
}

cases! { check_refusal =>
    nothing_allowed: request(), &[], Refusal::Forbidden;
    nothing_ready: request(), &fleet_with(|all| all.iter_mut().for_each(|one| one.ready = false)),
        Refusal::Unavailable;
    a_spent_budget: Request { budget: Budget::Low(3), ..request() }, &fleet(),
        Refusal::Budget { left: 3, cheapest: 10 };
    a_session_whose_version_is_removed: Request { session: Some(("m", "old")), ..request() }, &fleet(),
        Refusal::Session { model: "m".into(), version: "old".into() };
    a_session_without_servers: Request { session: Some(("m", "best")), ..request() },
        &fleet_with(|all| all[2].ready = false), Refusal::Unavailable;
}

#[test]
fn each_plan_is_explained() {
    let candidates = fleet();
    let plan = choose(&request(), &candidates).expect("a plan");
    let explanation = plan.explain(&candidates);
    let verdict = |shape: Shape| {
        let line = explanation.lines.iter().find(|line| line.shape == shape);
        line.map(|line| line.verdict)
    };
    assert_eq!(verdict(Shape::Single(0)), Some(Verdict::BelowTarget));
    assert_eq!(verdict(Shape::Single(1)), Some(Verdict::Dearer));
    assert_eq!(verdict(plan.shape), Some(Verdict::Chosen));
    assert_eq!(explanation.lines.len(), 6);
    assert!(serde_json::to_string(&explanation).is_ok());
}

prop_compose! {
    fn any_candidate()(
        cost in 1..1_000_u64,
        quality in 0.0..1.0_f64,
        tail_latency in 1..100_000_u64,
        ready in any::<bool>(),
        status in 0..3_usize,
    ) -> Candidate<'static> {
        Candidate {
            ready,
            status: [Status::Serving, Status::Trial, Status::Demoted][status],
            ..candidate("v", cost, quality, tail_latency)
        }
    }
}

proptest! {
    #[test]
    fn a_plan_uses_only_ready_candidates(
        candidates in proptest::collection::vec(any_candidate(), 0..8),
        target in 0.0..1.0_f64,
        low in proptest::option::of(0..1_000_u64),
        trial in proptest::option::of(0..8_usize),
    ) {
        let request = Request {
            target,
            trial,
            budget: low.map_or(Budget::Ample, Budget::Low),
            ..request()
        };
        let Ok(plan) = choose(&request, &candidates) else { return Ok(()); };
        prop_assert!((0.0..=1.0).contains(&plan.quality));
        let used = match plan.shape {
            Shape::Single(one) => vec![one],
            Shape::Cascade { first, then } => vec![first, then],
        };
        prop_assert!(used.iter().all(|index| candidates[*index].ready));
        if let Budget::Low(left) = request.budget {
            prop_assert!(plan.cost <= left as f64);
        }
        let better = candidates.iter().any(|one| one.ready && one.status == Status::Serving);
        let demoted = used.iter().any(|index| candidates[*index].status == Status::Demoted);
        prop_assert!(!(better && demoted));
    }
}

proptest! {
    #[test]
    fn a_mix_meets_the_target_at_a_lower_cost(
        candidates in proptest::collection::vec(any_candidate(), 1..8),
        target in 0.05..1.0_f64,
        draws in proptest::collection::vec(0.0..1.0_f64, 256),
    ) {
        let unmixed = choose(&Request { target, ..request() }, &candidates);
        let mixed: Vec<_> = draws
            .iter()
            .filter_map(|draw| {
                let request = Request { target, quality_slack: 0.1, random: *draw, ..request() };
                choose(&request, &candidates).ok()
            })
            .collect();
        let Ok(unmixed) = unmixed else { return Ok(()); };
        if unmixed.mode != Mode::Met { return Ok(()); }
        let mean = |of: fn(&policy::plan::Plan) -> f64| {
            mixed.iter().map(of).sum::<f64>() / mixed.len() as f64
        };
        // The observed share of 256 random draws is within 0.2 of its expected value.
        prop_assert!(mean(|plan| plan.quality) >= target - 0.2 * 1.1);
        prop_assert!(mixed.iter().all(|plan| plan.quality >= target - 0.1 - 1e-9));
        let spread = 0.2 * mixed.iter().map(|plan| plan.cost).fold(0.0, f64::max);
        prop_assert!(mean(|plan| plan.cost) <= unmixed.cost + spread);
    }
}

#[test]
fn an_optimistic_plan_uses_the_upper_quality_bound() {
    let candidates = fleet_with(|all| {
        all[0].quality = Estimate {
            upper: 0.93,
            ..all[0].quality
        }
    });
    let optimistic = Request {
        allow_cascade: false,
        optimistic: true,
        ..request()
    };
    check_plan(optimistic, &candidates, Mode::Met, Shape::Single(0));
    let cautious = Request {
        optimistic: false,
        ..optimistic
    };
    check_plan(cautious, &candidates, Mode::Met, Shape::Single(1));
}

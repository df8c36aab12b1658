//! Tests of roll-outs: exposure, sessions, and the judgement of good and bad versions.

use proptest::prelude::*;
use route::rollout::{Count, Settings, Side, Spec, Status, Tally, Trial};
use std::time::{Duration, Instant};

const DURATION: Duration = Duration::from_secs(24);

fn trial(now: Instant) -> Trial {
    let order = Spec {
        service: "models".to_owned(),
        version: "v2".to_owned(),
        duration: DURATION,
    };
    let settings = Settings {
        expose_share: 0.15,
        expose_extra: 30.0,
        ..Settings::default()
    };
    Trial::new(order, settings, now)
}

#[test]
fn a_session_on_the_old_version_stays_in_the_first_half() {
    let now = Instant::now();
    let trial = trial(now);
    for tenth in 0..=5 {
        let at = now + DURATION.mul_f64(f64::from(tenth) / 10.0);
        assert_eq!(trial.choose_side(at, 0.0, Some(Side::Old)), Side::Old);
    }
}

#[test]
fn a_session_on_the_new_version_stays_there() {
    let now = Instant::now();
    let trial = trial(now);
    for tenth in 0..10 {
        let at = now + DURATION.mul_f64(f64::from(tenth) / 10.0);
        assert_eq!(trial.choose_side(at, 0.99, Some(Side::New)), Side::New);
    }
}

#[test]
fn failures_of_other_nodes_roll_back() {
    let now = Instant::now();
    let mut trial = trial(now);
    for _ in 0..6 {
        trial.record_answer(Side::New, true);
    }
    assert_eq!(
        trial.evaluate(now),
        Status::Running,
        "too few answers are known"
    );
    let seen = Tally {
        old: Count::default(),
        new: Count {
            sent: 6,
            known: 6,
            bad: 3,
            ..Count::default()
        },
    };
    trial.set_report(&"n2".to_owned(), seen);
    assert_eq!(trial.evaluate(now), Status::RolledBack);
    assert_eq!(
        trial.choose_side(now + DURATION, 0.0, Some(Side::New)),
        Side::Old
    );
}

#[test]
fn equal_failures_of_both_versions_do_not_roll_back() {
    let now = Instant::now();
    let mut trial = trial(now);
    for index in 0..100 {
        trial.record_answer(Side::Old, index % 3 == 0);
        trial.record_answer(Side::New, index % 3 == 0);
    }
    assert_eq!(trial.evaluate(now), Status::Running);
    assert_eq!(trial.evaluate(now + DURATION), Status::Completed);
}

#[test]
fn a_fifth_of_bad_answers_rolls_back() {
    let now = Instant::now();
    let mut trial = trial(now);
    for index in 0..200 {
        trial.record_answer(Side::Old, index % 20 == 0);
    }
    for index in 0..40 {
        trial.record_answer(Side::New, index % 5 == 0);
    }
    assert_eq!(trial.evaluate(now), Status::RolledBack);
}

#[test]
fn a_doubtful_version_is_not_completed() {
    let now = Instant::now();
    let mut trial = trial(now);
    for index in 0..200 {
        trial.record_answer(Side::Old, index % 20 == 0);
    }
    for index in 0..14 {
        trial.record_answer(Side::New, index % 5 == 0);
    }
    assert_eq!(trial.evaluate(now), Status::Running);
    assert_eq!(trial.evaluate(now + DURATION), Status::RolledBack);
}

#[test]
fn the_greatest_reported_age_of_a_roll_out_counts() {
    let now = Instant::now();
    let mut trial = trial(now);
    trial.merge_age(now, Duration::from_secs(22));
    assert_eq!(trial.evaluate(now), Status::Completed);
}

/// Guards against a node that keeps a verdict on stale evidence over the status in the store.
#[test]
fn the_status_in_the_store_replaces_the_verdict_of_a_node() {
    let now = Instant::now();
    for (bad, recorded) in [(false, Status::RolledBack), (true, Status::Completed)] {
        let mut trial = trial(now);
        (0..50).for_each(|_| trial.record_answer(Side::New, bad));
        assert_ne!(trial.evaluate(now + DURATION), recorded);
        assert!(trial.finish(recorded), "it differs from the verdict");
        assert!(!trial.finish(recorded), "it has been recorded");
        assert_eq!(trial.evaluate(now + DURATION), recorded);
        assert_eq!(trial.status(), recorded);
    }
}

/// Guards against a version that takes over at one node while the others roll it back.
#[test]
fn a_verdict_to_complete_is_withdrawn_by_new_evidence() {
    let now = Instant::now();
    let mut trial = trial(now);
    (0..50).for_each(|_| trial.record_answer(Side::New, false));
    assert_eq!(trial.evaluate(now + DURATION), Status::Completed);
    assert_eq!(trial.status(), Status::Running, "the store doesn't say so");
    let bad = Tally {
        old: Count::default(),
        new: Count {
            sent: 50,
            known: 50,
            bad: 40,
            ..Count::default()
        },
    };
    trial.set_report(&"n2".to_owned(), bad);
    assert_eq!(trial.evaluate(now + DURATION), Status::RolledBack);
    assert_eq!(
        trial.choose_side(now + DURATION, 0.0, Some(Side::New)),
        Side::Old
    );
}

/// Records good answers of both versions; each pair is the number of answers and of slow ones.
fn record_latencies(trial: &mut Trial, old: (u32, u32), new: (u32, u32)) {
    for (side, (timed, slow)) in [(Side::Old, old), (Side::New, new)] {
        (0..timed).for_each(|index| {
            trial.record_latency(side, index < slow);
            trial.record_answer(side, false);
        });
    }
}

#[test]
fn a_slower_version_is_rolled_back_though_each_answer_is_near_the_mean() {
    let now = Instant::now();
    let mut trial = trial(now);
    record_latencies(&mut trial, (360, 120), (14, 12));
    assert_eq!(trial.evaluate(now), Status::RolledBack);
}

#[test]
fn a_somewhat_slower_version_does_not_take_over() {
    let now = Instant::now();
    let mut trial = trial(now);
    record_latencies(&mut trial, (360, 120), (60, 33));
    assert_eq!(
        trial.choose_side(now + DURATION.mul_f64(0.7), 0.5, None),
        Side::Old
    );
}

#[test]
fn a_version_faster_than_the_loaded_old_one_takes_over() {
    let now = Instant::now();
    let mut trial = trial(now);
    record_latencies(&mut trial, (360, 140), (60, 15));
    assert_eq!(trial.evaluate(now), Status::Running);
    assert_eq!(
        trial.choose_side(now + DURATION.mul_f64(0.7), 0.5, None),
        Side::New
    );
    assert_eq!(trial.evaluate(now + DURATION), Status::Completed);
}

proptest! {
    /// For any sequence of sessions, the new version gets at most its share of requests on trial.
    #[test]
    fn exposure_is_bounded_on_trial(
        draws in proptest::collection::vec(0.0..1.0_f64, 0..2000),
        millis in 1..20_u64,
    ) {
        let start = Instant::now();
        let mut trial = trial(start);
        let (mut all, mut new) = (0.0, 0.0);
        for (index, draw) in draws.into_iter().enumerate() {
            let now = start + Duration::from_millis(millis * index as u64);
            if trial.evaluate(now) != Status::Running {
                break;
            }
            let side = trial.choose_side(now, draw, None);
            trial.record_sent(side);
            all += 1.0;
            new += f64::from(u8::from(side == Side::New));
            prop_assert!(new <= 0.15 * all + 30.0);
        }
    }
}

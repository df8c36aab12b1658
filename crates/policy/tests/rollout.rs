//! Trials, promotion and demotion.

use policy::plan::Status;
use policy::quality::Counts;
use policy::rollout::{Event, Intent, Monitor, Settings, Stage};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::{Duration, Instant};

mod case;

const ROLLOUT: Intent = Intent::Rollout { bad_answers: 20 };

/// Records random ratings with the given share of good ones. Returns the first event and the number
/// of ratings up to it.
fn record_ratings(
    monitor: &mut Monitor,
    now: Instant,
    share: f64,
    seed: u64,
    max_ratings: u32,
) -> Option<(Event, u32)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    (1..=max_ratings).find_map(|count| {
        let good = rng.random_bool(share);
        let event = monitor.observe(now, Counts::from_rating(good), 0.95)?;
        Some((event, count))
    })
}

/// Checks that all of 50 seeds have the expected first event within a number of ratings.
fn check_event(intent: Intent, share: f64, expected: Option<Event>, within: u32) {
    let now = Instant::now();
    for seed in 0..50 {
        let mut monitor = Monitor::new(Settings::default(), intent, now);
        let event = record_ratings(&mut monitor, now, share, seed, within).map(|(event, _)| event);
        assert_eq!(event, expected, "seed {seed}");
    }
}

cases! { check_event =>
    a_good_version_is_promoted: ROLLOUT, 0.99, Some(Event::Promoted), 200;
    a_bad_version_is_demoted: ROLLOUT, 0.4, Some(Event::Demoted), 40;
    a_version_whose_quality_drops_is_demoted: Intent::None, 0.4, Some(Event::Demoted), 60;
    a_good_version_stays_in_service: Intent::None, 0.96, None, 2_000;
}

#[test]
fn a_small_budget_ends_the_trial() {
    let now = Instant::now();
    let mut monitor = Monitor::new(Settings::default(), Intent::Rollout { bad_answers: 1 }, now);
    assert_eq!(
        monitor.observe(now, Counts::from_rating(false), 0.95),
        Some(Event::Exhausted)
    );
}

#[test]
fn each_demotion_doubles_the_cooldown() {
    let mut now = Instant::now();
    let mut monitor = Monitor::new(Settings::default(), Intent::None, now);
    let mut waits = Vec::new();
    for _ in 0..3 {
        record_ratings(&mut monitor, now, 0.0, 1, 100);
        let Stage::Demoted { until } = monitor.stage() else {
            panic!("demoted");
        };
        waits.push(until - now);
        assert_eq!(monitor.tick(until - Duration::from_millis(1)), None);
        assert_eq!(monitor.tick(until), Some(Event::Retried));
        now = until;
    }
    assert_eq!(waits[1], waits[0] * 2);
    assert_eq!(waits[2], waits[0] * 4);
}

#[test]
fn a_pause_takes_precedence_and_keeps_the_ratings() {
    let now = Instant::now();
    let mut monitor = Monitor::new(Settings::default(), ROLLOUT, now);
    monitor.observe(now, Counts::from_rating(false), 0.95);
    let mut rng = SmallRng::seed_from_u64(1);
    assert!(monitor.admits(18, 1, &mut rng));
    monitor.set_intent(now, Intent::Paused);
    assert_eq!(monitor.status(), Status::Demoted);
    assert!(!monitor.admits(0, 1, &mut rng));
    monitor.set_intent(now, ROLLOUT);
    assert_eq!(monitor.status(), Status::Trial);
    assert!(
        !monitor.admits(19, 1, &mut rng),
        "the bad answer still counts"
    );
}

proptest! {
    #[test]
    fn bad_answers_stay_within_the_budget(
        budget in 1..40_u32,
        nodes in 1..8_u32,
        share in 0.0..1.0_f64,
        seed in any::<u64>(),
    ) {
        let now = Instant::now();
        let mut rng = SmallRng::seed_from_u64(seed);
        let intent = Intent::Rollout { bad_answers: budget };
        let mut monitor = Monitor::new(Settings::default(), intent, now);
        let mut bad = 0;
        for _ in 0..60 {
            // Each node starts as many answers as it may before any of them is rated.
            let started = (0..nodes)
                .map(|_| (0..).take_while(|held| monitor.admits(*held, nodes, &mut rng)).count())
                .sum::<usize>();
            let failed = (0..started).filter(|_| !rng.random_bool(share)).count();
            bad += failed;
            let counts = Counts { good: (started - failed) as f64, bad: failed as f64 };
            monitor.observe(now, counts, 0.95);
        }
        // Each node rounds its fraction of an answer at random, so the total can exceed the budget by
        // one per node.
        prop_assert!(bad <= (budget + nodes) as usize, "{bad} bad of {budget}");
    }
}

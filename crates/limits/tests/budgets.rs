//! Limits that hold for any sequence of events: retry budgets, spend budgets and probes.

use limits::Refusal;
use limits::quarantine::{self, Breaker};
use limits::retry::{self, Budget};
use limits::spend::{Account, Allocation, Settings};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::{Duration, Instant};

proptest! {
    #[test]
    fn retries_stay_within_their_budget(
        steps in proptest::collection::vec((any::<bool>(), 0..50_u64), 0..400),
    ) {
        let start = Instant::now();
        let settings = retry::Settings::default();
        let mut budget = Budget::new(settings.clone(), start);
        let (mut now, mut first, mut extra) = (start, 0, 0);
        for (retry, pause) in steps {
            now += Duration::from_millis(pause);
            if retry {
                extra += u32::from(budget.withdraw(now));
            } else {
                first += 1;
                budget.deposit();
            }
            let seconds = (now - start).as_secs_f64();
            let earned = settings.ratio * f64::from(first) + settings.min_per_s * seconds;
            prop_assert!(f64::from(extra) <= settings.burst + earned + 1e-6);
        }
    }

    #[test]
    fn nodes_together_never_exceed_a_budget(
        budget in 1..10_000_u64,
        steps in proptest::collection::vec((0..4_usize, 0..4_u8, 1..200_u64), 0..200),
    ) {
        let mut account = Account::default();
        let mut allocations = vec![Allocation::new(Settings::default(), budget, 1); 4];
        let mut spent = 0;
        for (node, step, cost) in steps {
            let allocation = &mut allocations[node];
            match step {
                0 => {
                    let Some(wanted) = allocation.refill_amount(4, cost) else { continue };
                    let (after, share) = account.allocate(budget, wanted);
                    account = after;
                    allocation.grant(1, account.granted, share);
                }
                // The node is replaced and loses its share.
                1 => *allocation = Allocation::new(Settings::default(), budget, 1),
                _ => {
                    let Ok(reservation) = allocation.reserve(cost) else { continue };
                    allocation.settle(reservation, cost);
                    spent += cost;
                }
            }
            prop_assert!(spent <= budget);
            prop_assert!(account.granted <= budget);
        }
    }
}

#[test]
fn a_node_without_a_share_is_unfunded() {
    let mut allocation = Allocation::new(Settings::default(), 100, 1);
    assert_eq!(allocation.reserve(1), Err(Refusal::Unfunded));
    allocation.grant(1, 100, 0);
    assert_eq!(allocation.reserve(1), Err(Refusal::Spent { left: 0 }));
}

#[test]
fn a_reservation_of_an_old_period_settles_nothing() -> Result<(), Refusal> {
    let mut allocation = Allocation::new(Settings::default(), 100, 1);
    allocation.grant(1, 50, 50);
    let reservation = allocation.reserve(10)?;
    allocation.update(100, 2);
    allocation.grant(2, 50, 50);
    allocation.settle(reservation, 10);
    assert_eq!((allocation.remaining(), allocation.spent()), (50, 0));
    Ok(())
}

#[test]
fn probes_of_a_failing_backend_server_back_off() {
    let mut now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut breaker = Breaker::new(quarantine::Settings::default());
    let (mut requests, end) = (0, now + Duration::from_secs(120));
    while now < end {
        if breaker.try_acquire(now) {
            requests += 1;
            breaker.record_failure(now, &mut rng);
        }
        now += Duration::from_millis(100);
    }
    assert!((5..15).contains(&requests), "{requests}");
    now += Duration::from_secs(60);
    assert!(breaker.try_acquire(now));
    breaker.record_success();
    assert!(
        breaker.try_acquire(now) && breaker.try_acquire(now),
        "closed again"
    );
}

#[test]
fn a_probe_that_never_ends_allows_another() {
    let now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(1);
    let settings = quarantine::Settings {
        failure_threshold: 1,
        ..Default::default()
    };
    let mut breaker = Breaker::new(settings.clone());
    breaker.record_failure(now, &mut rng);
    let probe = now + settings.base_delay * 2;
    assert!(breaker.try_acquire(probe));
    assert!(!breaker.try_acquire(probe + settings.probe_timeout / 2));
    assert!(breaker.try_acquire(probe + settings.probe_timeout));
}

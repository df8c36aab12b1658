//! Failures with real processes. Every scenario checks all promises.

use standin::Error;
use standin::scenario::{Report, find};
use std::sync::{Condvar, Mutex, PoisonError};

/// Fleets that run at once.
const FLEETS: usize = 3;

static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

macro_rules! scenarios {
    ($($name:ident: $($seed:literal)*;)*) => {
        $(#[test]
        fn $name() -> Result<(), Error> {
            for seed in [$($seed),*] {
                let report = run(stringify!($name), seed)?;
                println!("{report}");
                assert!(report.passed(), "{report}");
            }
            Ok(())
        })*

        #[test]
        fn every_scenario_is_a_test() {
            let tests = [$(stringify!($name)),*];
            let all: Vec<_> = standin::scenario::ALL.iter().map(|one| one.name).collect();
            assert_eq!(all, tests);
        }
    };
}

scenarios! {
    quiet_fleet: 1;
    node_killed_in_mid_stream: 1;
    node_killed_in_mid_confirmation: 1;
    node_paused_past_its_lease: 1;
    node_stopped_under_load: 1;
    all_nodes_replaced: 1;
    platform_down_at_claims: 1;
    platform_down_at_bills: 1;
    platform_down_at_changes: 1;
    platform_slow_at_claims: 1;
    platform_slow_at_bills: 1;
    platform_slow_at_changes: 1;
    platform_loses_claim_answers: 1;
    platform_loses_bill_answers: 1;
    platform_loses_change_answers: 1;
    platform_down_for_one_node: 1;
    platform_down_during_a_withdrawal: 1;
    zone_out_and_back: 1;
    zone_out_while_the_platform_is_down: 1;
    zone_out_and_a_node_dies: 1;
    withdrawal_under_load: 1;
    withdrawal_races_a_rollout: 1;
    two_operators_race: 1;
    rollout_interrupted: 1;
    contract_narrowed: 1;
    cold_start_under_load: 1;
    engine_restarts_cold: 1;
    engine_turns_cold: 1;
    engine_leaves_and_returns: 1;
    crashing_request_is_resent: 1;
    late_and_crossed_answers: 1;
    silent_caller_links: 1;
    silent_engine_links: 1;
    silent_service_links: 1;
    silent_node_links: 1;
    silent_platform_links: 1;
    two_failures_at_once: 1 2 3;
}

fn run(name: &str, seed: u64) -> Result<Report, Error> {
    let _turn = Turn::take();
    let scenario = find(name).ok_or(Error::Timeout("scenario of this name"))?;
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build()?
        .block_on(scenario.run(seed))
}

/// The right to run a fleet.
struct Turn;

impl Turn {
    fn take() -> Self {
        let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        let wait = ENDED.wait_while(running, |running| *running >= FLEETS);
        *wait.unwrap_or_else(PoisonError::into_inner) += 1;
        Self
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        ENDED.notify_one();
    }
}

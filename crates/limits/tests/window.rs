//! Bounds on the extra requests of a whole fleet with sliding-window budgets.

use limits::retry::{Allowance, Window};
use proptest::prelude::*;
use std::time::{Duration, Instant};

const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.6;
/// Constant part of the allowance of the whole fleet, split evenly between its nodes.
const EXTRA: f64 = 20.0;

fn fleet(nodes: usize) -> Vec<Window> {
    let allowance = Allowance {
        window: WINDOW,
        ratio: RATIO,
        extra: EXTRA / nodes as f64,
    };
    (0..nodes).map(|_| Window::new(allowance)).collect()
}

proptest! {
    // An event is a time in milliseconds, a node, and whether it is a first request or an attempt
    // to send an extra one.
    #[test]
    fn extra_requests_of_a_window_fit_the_first_requests_of_two(
        nodes in 1_usize..12,
        mut events in prop::collection::vec((0_u64..40_000, 0_usize..12, any::<bool>()), 0..400),
    ) {
        events.sort_unstable();
        let begin = Instant::now();
        let mut fleet = fleet(nodes);
        let mut firsts: Vec<u64> = Vec::new();
        let mut extras: Vec<u64> = Vec::new();
        for (millis, node, first) in events {
            let now = begin + Duration::from_millis(millis);
            let window = &mut fleet[node % nodes];
            if first {
                window.count(now);
                firsts.push(millis);
                continue;
            }
            if !window.withdraw(now, 1.0) {
                continue;
            }
            extras.push(millis);
            // The window of a node's last extra request reaches one window length back, so the
            // first requests of two windows count.
            let count_recent = |times: &[u64], windows: u64| {
                let since = (millis + 1).saturating_sub(windows * WINDOW.as_millis() as u64);
                times.iter().filter(|at| **at >= since).count() as f64
            };
            let max = RATIO * count_recent(&firsts, 2) + EXTRA;
            prop_assert!(count_recent(&extras, 1) <= max + 1e-9);
        }
    }
}

/// Number of nodes of a fleet, and requests per second at each of them.
macro_rules! low_traffic {
    ($($case:ident: $nodes:literal nodes, $rate:literal a second;)*) => {
        $(#[test]
        fn $case() {
            let begin = Instant::now();
            let mut fleet = fleet($nodes);
            let (mut requested, mut granted) = (0, 0);
            for node in &mut fleet {
                for index in 0..$rate * 4 {
                    let now = begin + Duration::from_secs(index) / $rate;
                    node.count(now);
                    // Half of the requests need a retry.
                    if index % 2 == 1 {
                        requested += 1;
                        granted += u32::from(node.withdraw(now, 1.0));
                    }
                }
            }
            assert_eq!(granted, requested, "a ratio above one half allows these retries at once");
        })*
    };
}

low_traffic! {
    a_small_fleet_retries_half_of_its_requests: 9 nodes, 30 a second;
    a_large_fleet_with_few_requests_per_node_retries_half_of_them: 195 nodes, 2 a second;
}

//! Extra requests of a fleet in each span of a window's length.

use limits::retry::{Allowance, Window};
use proptest::prelude::*;
use std::time::{Duration, Instant};

const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.6;
/// Extra requests of the whole fleet.
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
    // An act is a time in milliseconds, a node, and whether it is a first request or a try to take an
    // extra one.
    #[test]
    fn no_window_has_more_than_the_requests_of_two_allow(
        nodes in 1_usize..12,
        mut acts in prop::collection::vec((0_u64..40_000, 0_usize..12, any::<bool>()), 0..400),
    ) {
        acts.sort_unstable();
        let begin = Instant::now();
        let mut fleet = fleet(nodes);
        let mut firsts: Vec<u64> = Vec::new();
        let mut extras: Vec<u64> = Vec::new();
        for (millis, node, first) in acts {
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
            // Each node spends for the requests of the window before its own last extra one.
            let recent = |times: &[u64], windows: u64| {
                let since = (millis + 1).saturating_sub(windows * WINDOW.as_millis() as u64);
                times.iter().filter(|at| **at >= since).count() as f64
            };
            prop_assert!(recent(&extras, 1) <= RATIO * recent(&firsts, 2) + EXTRA + 1e-9);
        }
    }
}

/// Nodes of a fleet, and requests a second of each.
macro_rules! thin_traffic {
    ($($case:ident: $nodes:literal nodes, $rate:literal a second;)*) => {
        $(#[test]
        fn $case() {
            let begin = Instant::now();
            let mut fleet = fleet($nodes);
            let (mut asked, mut taken) = (0, 0);
            for node in &mut fleet {
                for index in 0..$rate * 4 {
                    let now = begin + Duration::from_secs(index) / $rate;
                    node.count(now);
                    // Half of the requests are to be sent once more.
                    if index % 2 == 1 {
                        asked += 1;
                        taken += u32::from(node.withdraw(now, 1.0));
                    }
                }
            }
            assert_eq!(taken, asked, "a ratio above a half bears it from the first second on");
        })*
    };
}

thin_traffic! {
    a_small_fleet_sends_half_of_its_requests_again: 9 nodes, 30 a second;
    so_does_a_large_one_with_few_requests_a_node: 195 nodes, 2 a second;
}

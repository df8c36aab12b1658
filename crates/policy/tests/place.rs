//! Placement on backend servers.

use policy::placement::{Load, Pool, Query, Settings, prefix_hash};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

mod case;

const ZONES: [&str; 3] = ["a", "b", "c"];

fn pool(count: usize) -> Pool {
    let servers = (0..count).map(|index| {
        let name = format!("10.0.{}.{}:80", index / 250, index % 250);
        (name, ZONES[index % 3].to_owned())
    });
    Pool::new(Settings::default(), servers)
}

fn idle(_: usize) -> Option<Load> {
    Some(Load {
        free_slots: 8,
        capacity: 8,
        ..Default::default()
    })
}

fn busy(requests: u32) -> Load {
    Load {
        free_slots: 1,
        capacity: 10,
        reported: requests,
        ..Default::default()
    }
}

/// Checks that the share of 400 choices for which a property holds is in the expected range.
fn check_share(
    query: Query,
    load: impl Fn(usize) -> Option<Load>,
    holds: impl Fn(usize) -> bool,
    expected: std::ops::RangeInclusive<f64>,
) {
    let pool = pool(24);
    let mut rng = SmallRng::seed_from_u64(3);
    let count = (0..400)
        .filter(|_| pool.choose(&query, &load, &mut rng).is_some_and(&holds))
        .count();
    let share = count as f64 / 400.0;
    assert!(expected.contains(&share), "{share}");
}

fn in_zone(zone: &'static str) -> Query<'static> {
    Query {
        zone,
        ..Default::default()
    }
}

cases! { check_share =>
    the_local_zone_is_preferred: in_zone("a"), idle, |index| index % 3 == 0, 0.99..=1.0;
    a_busy_zone_overflows_to_others: in_zone("a"),
        |index| Some(busy(if index % 3 == 0 { 10 } else { 0 })), |index| index % 3 != 0, 0.6..=1.0;
    a_session_returns_to_its_server: Query { preferred: Some("10.0.0.4:80"), ..in_zone("a") }, idle,
        |index| index == 4, 0.99..=1.0;
    a_busy_server_loses_its_session: Query { preferred: Some("10.0.0.4:80"), ..in_zone("a") },
        |index| Some(busy(if index == 4 { 10 } else { 0 })), |index| index == 4, 0.0..=0.0;
    a_server_that_failed_is_avoided: Query { avoid: Some("10.0.0.0:80"), ..in_zone("a") }, idle,
        |index| index == 0, 0.0..=0.0;
    warm_servers_are_preferred_to_cold_ones: in_zone("a"),
        |index| Some(Load { cold: index % 6 == 0, ..busy(0) }), |index| index % 6 == 0, 0.0..=0.3;
    the_only_free_server_is_found: in_zone("a"), |index| (index == 17).then(|| busy(9)),
        |index| index == 17, 1.0..=1.0;
}

#[test]
fn a_prefix_stays_on_its_replicas() {
    let pool = pool(24);
    let mut rng = SmallRng::seed_from_u64(5);
    let query = Query {
        prefix_hash: Some(prefix_hash("c", "You draft route plans.")),
        ..in_zone("a")
    };
    let mut chosen: Vec<_> = (0..200)
        .filter_map(|_| pool.choose(&query, idle, &mut rng))
        .collect();
    chosen.sort_unstable();
    chosen.dedup();
    assert!(chosen.len() <= 2, "{chosen:?}");
}

#[test]
fn prefixes_spread_over_servers() {
    let pool = pool(24);
    let mut rng = SmallRng::seed_from_u64(5);
    let mut counts = [0; 24];
    for number in 0..2_400 {
        let query = Query {
            prefix_hash: Some(prefix_hash("c", &number.to_string())),
            ..Default::default()
        };
        let index = pool.choose(&query, idle, &mut rng).expect("a server");
        counts[index] += 1;
    }
    assert!(
        counts.iter().all(|count| (20..400).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn nodes_with_the_same_outdated_reports_spread_requests() {
    let pool = pool(24);
    let mut counts = [0; 24];
    // All 240 nodes see server 9 as the least loaded, and none sees the choices of the others.
    let load = |index: usize| Some(busy(if index == 9 { 0 } else { 2 }));
    for node in 0..240 {
        let mut rng = SmallRng::seed_from_u64(node);
        let index = pool
            .choose(&in_zone("a"), load, &mut rng)
            .expect("a server");
        counts[index] += 1;
    }
    assert!(counts[9] < 90, "{counts:?}");
}

#[test]
fn a_failed_server_is_used_if_it_is_the_only_one() {
    let pool = pool(1);
    let mut rng = SmallRng::seed_from_u64(5);
    let query = Query {
        avoid: Some("10.0.0.0:80"),
        ..Default::default()
    };
    assert_eq!(pool.choose(&query, idle, &mut rng), Some(0));
}

proptest! {
    #[test]
    fn only_servers_with_slots_are_chosen(
        free in proptest::collection::vec(any::<bool>(), 0..40),
        key in any::<Option<u64>>(),
        seed in any::<u64>(),
    ) {
        let pool = pool(free.len());
        let mut rng = SmallRng::seed_from_u64(seed);
        let load = |index: usize| free[index].then(|| busy(5));
        let query = Query { prefix_hash: key, ..in_zone("b") };
        let chosen = pool.choose(&query, load, &mut rng);
        prop_assert_eq!(chosen.is_some(), free.contains(&true));
        prop_assert!(chosen.is_none_or(|index| free[index]));
    }
}

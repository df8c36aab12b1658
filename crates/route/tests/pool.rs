//! Tests of placement: the choice of a backend server, and agreement of nodes without communication.

mod fixture;

use contract::Map;
use fixture::listing;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use route::pool::{
    Capacity, Load, Outcome, Pool, Query, Refusal, Settings, Work, load_of, name_hash, tag,
};
use route::server::{Listing, State};
use std::time::{Duration, Instant};

fn work(prefix: &str) -> Work {
    Work {
        parts: vec![
            (name_hash("system"), 500.0),
            (name_hash(prefix), 4000.0),
            (name_hash("own"), 500.0),
        ],
        prompt_tokens: 5000.0,
        output_tokens: 300.0,
        kilobytes: 10.0,
    }
}

fn query(work: &Work) -> Query<'_> {
    Query {
        service: "models",
        model: Some(("small", 0.3)),
        model_hash: name_hash("small"),
        work,
        zone: "a",
        tried: &[],
        draw: 0,
    }
}

fn pool(servers: usize) -> Pool {
    let mut pool = Pool::new(Settings::default());
    for index in 0..servers {
        pool.upsert(Instant::now(), listing(&format!("i-{index}"), "a"));
    }
    pool
}

#[test]
fn nodes_send_a_shared_prefix_to_one_engine() {
    let now = Instant::now();
    for prefix in ["s-1", "s-2", "s-3", "s-4"] {
        let work = work(prefix);
        let chosen: Vec<_> = (0..3)
            .map(|_| pool(6).pick(now, &query(&work), |_| true).unwrap().id)
            .collect();
        assert!(
            chosen.windows(2).all(|pair| pair[0] == pair[1]),
            "{chosen:?}"
        );
    }
}

#[test]
fn a_contended_preferred_engine_is_avoided() {
    let now = Instant::now();
    let mut pool = pool(6);
    let work = work("s-1");
    let first = pool.pick(now, &query(&work), |_| true).unwrap().id;
    let load = Load {
        requests: 8,
        tokens: 40_000.0,
        weight: 24.0,
        ..Load::default()
    };
    pool.set_remote_loads(&"n2".to_owned(), Map::from_iter([(tag(&first), load)]));
    let next = pool.pick(now, &query(&work), |_| true).unwrap().id;
    assert_ne!(next, first);
    // The load of a node that is gone no longer counts.
    pool.set_remote_loads(&"n2".to_owned(), Map::default());
    assert_eq!(pool.pick(now, &query(&work), |_| true).unwrap().id, first);
}

#[test]
fn scarce_memory_diverts_requests() {
    let now = Instant::now();
    let mut pool = pool(2);
    let capacity = Capacity {
        memory_tokens: 10_000.0,
        ..Capacity::default()
    };
    pool.set_capacities(
        Instant::now(),
        Map::from_iter([("models".to_owned(), capacity)]),
        &["n".to_owned()],
    );
    let work = work("s-1");
    let first = pool.pick(now, &query(&work), |_| true).unwrap().id;
    pool.start_request(now, &first, &query(&work));
    let next = pool.pick(now, &query(&work), |_| true).unwrap().id;
    assert_ne!(next, first, "both requests don't fit into one engine");
}

#[test]
fn a_failing_or_slow_engine_is_avoided() {
    let now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(1);
    let work = work("s-1");
    let mut failing = pool(3);
    let first = failing.pick(now, &query(&work), |_| true).unwrap().id;
    for _ in 0..2 {
        failing.start_request(now, &first, &query(&work));
        let load = load_of(&query(&work));
        failing.finish_request(now, &first, load, Outcome::Failed, &mut rng);
    }
    assert_ne!(
        failing.pick(now, &query(&work), |_| true).unwrap().id,
        first
    );
    let mut slow = pool(3);
    // Later than the listing, because latencies of a cold backend server are ignored.
    let now = Instant::now();
    let stage = route::pool::Stage::EventInterval;
    let baseline = listing("i-none", "a");
    for _ in 0..12 {
        slow.record_latency(now, &baseline, "small", stage, 20.0, true);
    }
    for _ in 0..12 {
        slow.record_latency(now, &listing(&first, "a"), "small", stage, 160.0, false);
    }
    assert_ne!(slow.pick(now, &query(&work), |_| true).unwrap().id, first);
}

/// Returns the number of requests that the busiest of 30 engines gets when each node places one on the
/// same reported loads, in which one engine is idle.
fn busiest(nodes: usize) -> usize {
    let now = Instant::now();
    let mut pool = pool(30);
    let names: Vec<_> = (0..nodes).map(|index| format!("n-{index}")).collect();
    pool.set_capacities(Instant::now(), Map::default(), &names);
    let load = |index: u32| Load {
        requests: 4 + index % 3,
        weight: f64::from(4 + index % 3),
        ..Load::default()
    };
    let loads = (1..30).map(|index| (tag(&format!("i-{index}")), load(index)));
    pool.set_remote_loads(&"n".to_owned(), loads.collect());
    let mut rng = SmallRng::seed_from_u64(3);
    let mut chosen: Map<String, usize> = Map::default();
    for index in 0..nodes {
        let work = work(&format!("s-{index}"));
        let query = Query {
            draw: rng.random(),
            ..query(&work)
        };
        let id = pool.pick(now, &query, |_| true).unwrap().id;
        *chosen.entry(id).or_default() += 1;
    }
    chosen.into_values().max().unwrap()
}

#[test]
fn many_nodes_do_not_choose_the_same_engine() {
    assert!(busiest(60) <= 12, "{}", busiest(60));
    // A single node knows all loads and considers every engine.
    assert_eq!(busiest(1), 1);
}

#[test]
fn an_engine_with_pending_prefill_of_other_nodes_is_avoided() {
    let now = Instant::now();
    let mut pool = pool(6);
    let work = work("s-1");
    let first = pool.pick(now, &query(&work), |_| true).unwrap().id;
    let load = Load {
        requests: 1,
        pending_prefill: 100_000.0,
        ..Load::default()
    };
    pool.set_remote_loads(&"n2".to_owned(), Map::from_iter([(tag(&first), load)]));
    let next = pool.pick(now, &query(&work), |_| true).unwrap().id;
    assert_ne!(next, first, "it processes other prompts for two seconds");
}

#[test]
fn a_crash_is_counted_once() {
    let now = Instant::now();
    let mut pool = pool(1);
    assert!(pool.record_break(now, "i-0"));
    assert!(!pool.record_break(now + Duration::from_millis(300), "i-0"));
    assert!(pool.record_break(now + Duration::from_secs(2), "i-0"));
    assert!(!pool.record_break(now, "i-gone"));
}

#[test]
fn a_refusal_states_its_reason() {
    let now = Instant::now();
    let work = work("s-1");
    assert_eq!(
        pool(0).pick(now, &query(&work), |_| true),
        Err(Refusal::NoServer)
    );
    let mut full = pool(1);
    let load = Load {
        requests: 14,
        ..Load::default()
    };
    full.set_remote_loads(&"n2".to_owned(), Map::from_iter([(tag("i-0"), load)]));
    assert_eq!(full.pick(now, &query(&work), |_| true), Err(Refusal::Full));
    let mut leaving = pool(1);
    let entry = Listing {
        state: State::Leaving,
        ..listing("i-0", "a")
    };
    leaving.upsert(now, entry);
    assert_eq!(
        leaving.pick(now, &query(&work), |_| true),
        Err(Refusal::NoServer)
    );
}

/// Returns the number of requests that all nodes together send to a cold engine in one second when
/// each uses its whole quota.
fn sent_while_cold(nodes: usize) -> usize {
    let now = Instant::now();
    let names: Vec<_> = (0..nodes).map(|index| format!("n-{index}")).collect();
    let capacity = Capacity {
        cold_rate: Some(20.0),
        ..Capacity::default()
    };
    let work = work("s-1");
    let mut sent = 0;
    for own in 0..nodes {
        let mut names = names.clone();
        names.swap(0, own);
        let mut pool = Pool::new(Settings::default());
        pool.set_capacities(
            Instant::now(),
            Map::from_iter([("models".to_owned(), capacity)]),
            &names,
        );
        let cold = Duration::from_secs(3);
        pool.upsert(
            now,
            Listing {
                cold_remaining: cold,
                ..listing("i-0", "a")
            },
        );
        for tenth in 0..10 {
            let now = now + Duration::from_millis(100 * tenth);
            while let Ok(chosen) = pool.pick(now, &query(&work), |_| true) {
                pool.start_request(now, &chosen.id, &query(&work));
                sent += 1;
            }
        }
    }
    sent
}

macro_rules! cold {
    ($($name:ident($nodes:expr))*) => {$(
        #[test]
        fn $name() {
            let sent = sent_while_cold($nodes);
            assert!((1..=20).contains(&sent), "{sent} requests to a cold engine in a second");
        }
    )*};
}

cold! {
    one_node_respects_the_limit_of_a_cold_engine(1)
    six_nodes_respect_the_limit_of_a_cold_engine(6)
    ten_nodes_respect_the_limit_of_a_cold_engine(10)
    seventy_nodes_respect_the_limit_of_a_cold_engine(70)
    a_thousand_nodes_respect_the_limit_of_a_cold_engine(1000)
}

#[test]
fn a_zone_that_comes_back_is_cold() {
    let now = Instant::now();
    let mut pool = pool(1);
    let capacity = Capacity {
        cold_rate: Some(20.0),
        cold_duration: Duration::from_secs(3),
        ..Capacity::default()
    };
    pool.set_capacities(
        Instant::now(),
        Map::from_iter([("models".to_owned(), capacity)]),
        &["n".to_owned()],
    );
    let work = work("s-1");
    pool.set_zones_out(now, ["a".to_owned()].into_iter().collect());
    assert_eq!(
        pool.pick(now, &query(&work), |_| true),
        Err(Refusal::NoServer)
    );
    pool.set_zones_out(now, Default::default());
    assert_eq!(
        pool.servers()["i-0"].cold_until,
        now + Duration::from_secs(3)
    );
}

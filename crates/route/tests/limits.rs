//! Limits that backend servers name, kept by many nodes together.

mod fixture;

use contract::Map;
use fixture::listing;
use route::NodeName;
use route::pool::{Naming, Pool, Query, Rate, Settings, Share, Work};
use std::time::{Duration, Instant};

/// Window in which requests are counted, as the rules say.
const WINDOW: Duration = Duration::from_secs(4);
/// Step of the played time.
const STEP: Duration = Duration::from_millis(20);
/// Time that an answer takes, in steps.
const ANSWER_STEPS: usize = 5;
/// Played time.
const TIME: Duration = Duration::from_secs(60);
/// Time from which a limit must hold, as the rules say.
const CONTACT: Duration = Duration::from_secs(3);

fn query(work: &Work) -> Query<'_> {
    Query {
        service: "models",
        model: None,
        model_hash: 0,
        work,
        zone: "a",
        tried: &[],
        draw: 0,
    }
}

fn names(nodes: usize) -> Vec<NodeName> {
    (0..nodes).map(|index| format!("n-{index}")).collect()
}

/// A node's pool with one backend server; the node knows all nodes, itself first.
fn pool(now: Instant, nodes: usize, own: usize) -> Pool {
    let mut pool = Pool::new(Settings::default());
    pool.upsert(now, listing("i-1", "a"));
    let mut names = names(nodes);
    names.swap(0, own);
    pool.set_capacities(now, Map::default(), &names);
    pool
}

fn naming(pool: &Pool, at: Instant, rate: Option<Rate>) -> Naming {
    let started_ms = pool.servers()["i-1"].listing.started_ms;
    Naming {
        server: "i-1".to_owned(),
        started_ms,
        rate,
        at,
    }
}

/// A fleet whose nodes each have a request at any time, before a backend server that names a limit.
struct Fleet {
    pools: Vec<Pool>,
    /// When the server answers, and the node that sent the request.
    answers: Vec<(Instant, usize)>,
    arrivals: Vec<Instant>,
}

impl Fleet {
    /// Plays from a time on; all nodes hear of each answer that the node which got it tells them.
    fn play(now: Instant, nodes: usize, rate: Rate) -> Self {
        let pools = (0..nodes).map(|own| pool(now, nodes, own)).collect();
        let mut fleet = Self {
            pools,
            answers: Vec::new(),
            arrivals: Vec::new(),
        };
        let first = naming(&fleet.pools[0], now, Some(rate));
        for pool in &mut fleet.pools {
            pool.record_naming(now, &first);
        }
        let steps = (TIME.as_millis() / STEP.as_millis()) as u32;
        for step in 0..steps {
            fleet.step(now + STEP * step, rate, step as usize);
        }
        fleet
    }

    fn step(&mut self, now: Instant, rate: Rate, step: usize) {
        let work = Work::default();
        let nodes = self.pools.len();
        for offset in 0..nodes {
            let own = (step + offset) % nodes;
            if self.pools[own].pick(now, &query(&work), |_| true).is_ok() {
                self.pools[own].start_request(now, "i-1", &query(&work));
                self.arrivals.push(now);
                self.answers.push((now + STEP * ANSWER_STEPS as u32, own));
            }
        }
        let due: Vec<_> = self.answers.extract_if(.., |(at, _)| *at <= now).collect();
        for (at, own) in due {
            let load = route::pool::load_of(&query(&work));
            let mut rng = rand::rng();
            let outcome = route::pool::Outcome::Succeeded;
            self.pools[own].finish_request(now, "i-1", load, outcome, &mut rng);
            let word = naming(&self.pools[own], at, Some(rate));
            if self.pools[own].record_naming(now, &word) {
                for other in (0..nodes).filter(|other| *other != own) {
                    self.pools[other].record_naming(now, &word);
                }
            }
        }
    }

    fn most_in_window(&self, from: Instant) -> usize {
        let times = self.arrivals.iter().filter(|at| **at >= from);
        let counts = times.clone().map(|first| {
            let within = |at: &&Instant| **at >= *first && **at < *first + WINDOW;
            self.arrivals.iter().filter(within).count()
        });
        counts.max().unwrap_or(0)
    }
}

macro_rules! fleets {
    ($($name:ident: $nodes:expr, $rate:expr;)*) => {$(
        /// At most one and a half times the limit and five requests in each window; over the whole
        /// time at least half of the limit is used.
        #[test]
        fn $name() {
            let now = Instant::now();
            let fleet = Fleet::play(now, $nodes, $rate);
            let most = fleet.most_in_window(now + CONTACT);
            let allowed = 1.5 * $rate * WINDOW.as_secs_f64() + 5.0;
            assert!(most as f64 <= allowed, "{most} requests of {allowed}");
            let used = fleet.arrivals.len() as f64 / TIME.as_secs_f64();
            assert!(used >= 0.5 * $rate, "{used} requests a second of {}", $rate);
        }
    )*};
}

fleets! {
    one_node_keeps_to_the_limit: 1, 1.0;
    six_nodes_keep_to_the_limit_together: 6, 1.0;
    six_nodes_keep_to_a_limit_below_one_request_a_window: 6, 0.1;
    six_nodes_keep_to_a_limit_of_zero: 6, 0.0;
    seven_nodes_keep_to_a_high_limit: 7, 40.0;
    sixty_nodes_keep_to_the_limit_together: 60, 3.5;
    two_hundred_nodes_keep_to_the_limit_together: 195, 1.0;
}

#[test]
fn a_limit_of_zero_is_probed() {
    let now = Instant::now();
    let fleet = Fleet::play(now, 6, 0.0);
    assert!(
        !fleet.arrivals.is_empty(),
        "nobody would find out that it has ended"
    );
}

#[test]
fn a_node_that_learns_a_limit_begins_without_a_burst() {
    let now = Instant::now();
    let work = Work::default();
    let mut pool = pool(now, 1, 0);
    let word = naming(&pool, now.checked_sub(TIME).unwrap(), Some(2.0));
    assert!(pool.record_naming(now, &word), "named a while ago");
    assert!(pool.pick(now, &query(&work), |_| true).is_err());
    let later = now + Duration::from_secs(1);
    assert!(pool.pick(later, &query(&work), |_| true).is_ok());
}

#[test]
fn an_older_word_changes_no_newer_limit() {
    let now = Instant::now();
    let mut pool = pool(now, 1, 0);
    let (old, new) = (now + STEP, now + 2 * STEP);
    let limit = |pool: &Pool| pool.servers()["i-1"].limit().map(|limit| limit.rate());
    let word = naming(&pool, new, Some(2.0));
    assert!(pool.record_naming(new, &word));
    let word = naming(&pool, old, Some(1e6));
    assert!(!pool.record_naming(new, &word));
    let work = Work::default();
    assert!(
        pool.pick(new + STEP, &query(&work), |_| true).is_err(),
        "its share is as before"
    );
    let word = naming(&pool, old, None);
    assert!(!pool.record_naming(new, &word));
    assert_eq!(limit(&pool), Some(2.0));
    let word = naming(&pool, new + STEP, None);
    assert!(pool.record_naming(new + STEP, &word));
    assert_eq!(limit(&pool), None);
}

#[test]
fn a_limit_is_kept_while_its_server_is_unlisted_and_dropped_at_its_restart() {
    let now = Instant::now();
    let mut pool = pool(now, 1, 0);
    let word = naming(&pool, now, Some(2.0));
    assert!(pool.record_naming(now, &word));
    let mut entry = pool.servers()["i-1"].listing.clone();
    pool.remove("i-1");
    pool.upsert(now, entry.clone());
    assert!(pool.servers()["i-1"].limit().is_some());
    entry.started_ms += 1;
    pool.upsert(now, entry);
    assert!(pool.servers()["i-1"].limit().is_none());
    assert!(!pool.record_naming(now, &word), "it is of an earlier start");
}

#[test]
fn a_limit_ends_with_answers_that_no_longer_name_it() {
    let now = Instant::now();
    let mut pool = pool(now, 1, 0);
    let word = naming(&pool, now, Some(2.0));
    assert!(pool.record_naming(now, &word));
    let start = word.started_ms;
    let later = now + Duration::from_secs(4);
    assert!(!pool.record_silent_answer(now, "i-1", start));
    assert!(
        !pool.record_silent_answer(now, "i-1", start),
        "it was just named"
    );
    assert!(
        !pool.record_silent_answer(later, "i-1", start + 1),
        "another start"
    );
    assert!(pool.record_silent_answer(later, "i-1", start));
    assert!(pool.servers()["i-1"].limit().is_none());
}

/// Guards against a time to the next request that no clock holds.
#[test]
fn a_limit_near_zero_is_kept_like_zero() {
    for rate in [f64::MIN_POSITIVE, 1e-300, 1e-20, f64::MAX] {
        let fleet = Fleet::play(Instant::now(), 6, rate);
        assert!(rate > 1.0 || fleet.most_in_window(Instant::now()) <= 5);
    }
}

#[test]
fn shares_add_up_to_no_more_than_the_limit() {
    for nodes in [1, 2, 6, 60, 1100] {
        for limit in [0.0, 0.01, 1.0, 7.5, 1e9] {
            let shares = (0..nodes).map(|rank| Share::of(limit, rank, nodes));
            let sum: Rate = shares.map(|share| share.rate).sum();
            assert!(sum <= limit, "{sum} of {limit} at {nodes} nodes");
        }
    }
}

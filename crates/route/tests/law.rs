//! Tests of learned engine speeds: placement by estimates learned from answers is compared with
//! placement by the true speeds.

mod fixture;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use route::pool::{Capacity, Load, Pool, Prefill, Query, Settings, Stage, Work, name_hash, tag};
use route::server::Listing;
use std::time::{Duration, Instant};

/// True speeds of the engines.
#[derive(Clone, Copy)]
struct Engines {
    /// Milliseconds of a step without any request.
    step: f64,
    /// Milliseconds that a request of weight 1 adds to a step.
    per_weight: f64,
    /// Prompt tokens processed per millisecond.
    prefill_rate: f64,
    /// Number of tokens in one event.
    event_tokens: f64,
}

/// Number of backend servers in the pool.
const ENGINES: usize = 12;
/// Number of answers observed.
const OBSERVED: usize = 150;
/// Number of requests placed.
const PLACED: usize = 1500;
/// Maximum ratio of the mean time with learned speeds to that with the true ones.
const MAX_RATIO: f64 = 1.05;

impl Engines {
    fn settings(self) -> Settings {
        Settings {
            step: Duration::from_secs_f64(self.step / 1e3),
            step_per_weight: Duration::from_secs_f64(self.per_weight / 1e3),
            prefill_rate: self.prefill_rate,
            // All servers are considered, so that the choice is compared and not the sample.
            min_sample: ENGINES as f64,
            ..Settings::default()
        }
    }

    fn pool(self, settings: Settings, now: Instant) -> Pool {
        let mut pool = Pool::new(settings);
        let capacity = Capacity {
            event_tokens: self.event_tokens,
            ..Capacity::default()
        };
        let capacities = contract::Map::from_iter([("models".to_owned(), capacity)]);
        pool.set_capacities(Instant::now(), capacities, &["n".to_owned()]);
        (0..ENGINES).for_each(|index| pool.upsert(now, listing(index)));
        pool
    }

    /// Records first events and event intervals as a node observes them, with noise of up to a fifth.
    fn observe(self, pool: &mut Pool, now: Instant, rng: &mut SmallRng) {
        for index in 0..OBSERVED {
            let listing = listing(index % ENGINES);
            let weight: f64 = rng.random_range(0.0..25.0);
            let loads = [(tag(&listing.id), load(weight, 0.0))];
            pool.set_remote_loads(&"m".to_owned(), loads.into_iter().collect());
            let noise = |rng: &mut SmallRng| rng.random_range(0.8..1.2);
            let step = (self.step + self.per_weight * weight) * noise(rng);
            pool.record_latency(
                now,
                &listing,
                "m",
                Stage::EventInterval,
                step * self.event_tokens,
                true,
            );
            let prefill = Prefill {
                own: rng.random_range(0.0..6000.0),
                ahead: rng.random_range(0.0..6000.0),
            };
            let millis = (15.0 + (prefill.own + prefill.ahead) / self.prefill_rate) * noise(rng);
            pool.record_first_event(now, &listing, prefill, millis);
        }
    }

    /// Returns the milliseconds that a request takes on a backend server.
    fn time(self, pool: &Pool, id: &str, work: &Work) -> f64 {
        let load = pool.servers()[id].load();
        let prefill = (work.prompt_tokens + load.pending_prefill) / self.prefill_rate;
        prefill + work.output_tokens * (self.step + self.per_weight * (load.weight + 1.0))
    }
}

fn load(weight: f64, pending_prefill: f64) -> Load {
    Load {
        requests: weight as u32,
        weight,
        pending_prefill,
        ..Load::default()
    }
}

fn listing(index: usize) -> Listing {
    Listing {
        slots: 64,
        ..fixture::listing(&format!("i-{index}"), "a")
    }
}

/// Places requests on engines with changing loads; returns their mean time.
fn mean_time(engines: Engines, pool: &mut Pool, now: Instant) -> f64 {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut sum = 0.0;
    for index in 0..PLACED {
        let loads = (0..ENGINES).map(|engine| {
            let weight: f64 = rng.random_range(0.0..25.0);
            let pending_prefill = match rng.random_bool(0.4) {
                true => rng.random_range(0.0..30_000.0),
                false => 0.0,
            };
            (tag(&format!("i-{engine}")), load(weight, pending_prefill))
        });
        let loads = loads.collect();
        pool.set_remote_loads(&"m".to_owned(), loads);
        let work = Work {
            parts: vec![(name_hash(&format!("own-{index}")), 3000.0)],
            prompt_tokens: 3000.0,
            output_tokens: rng.random_range(20.0..600.0),
            kilobytes: 1.0,
        };
        let query = Query {
            service: "models",
            model: Some(("m", 1.0)),
            model_hash: name_hash("m"),
            work: &work,
            zone: "a",
            tried: &[],
            draw: 0,
        };
        let id = pool.pick(now, &query, |_| true).unwrap().id;
        sum += engines.time(pool, &id, &work);
    }
    sum / PLACED as f64
}

fn ratio_to_informed(engines: Engines, learns: bool) -> f64 {
    let listed = Instant::now();
    let now = listed + Duration::from_secs(1);
    let mut rng = SmallRng::seed_from_u64(3);
    let assumed = Settings {
        min_sample: ENGINES as f64,
        ..Settings::default()
    };
    let mut pool = engines.pool(assumed, listed);
    if learns {
        engines.observe(&mut pool, now, &mut rng);
    }
    let mut informed = engines.pool(engines.settings(), listed);
    mean_time(engines, &mut pool, now) / mean_time(engines, &mut informed, now)
}

/// Each case: milliseconds of a step and per weight, prompt tokens per millisecond, tokens of an event.
macro_rules! speeds {
    ($($case:ident: $step:literal, $per_weight:literal, $prefill_rate:literal, $event_tokens:literal;)*) => {
        $(#[test]
        fn $case() {
            let engines = Engines {
                step: $step,
                per_weight: $per_weight,
                prefill_rate: $prefill_rate,
                event_tokens: $event_tokens,
            };
            let ratio = ratio_to_informed(engines, true);
            assert!(ratio < MAX_RATIO, "{ratio}");
        })*
    };
}

speeds! {
    engines_as_assumed_are_learned: 2.9, 0.22, 55.0, 7.0;
    engines_that_read_fast_are_learned: 2.2, 0.2, 140.0, 13.0;
    engines_that_read_slowly_are_learned: 8.0, 0.1, 6.0, 1.0;
    engines_that_decode_slowly_are_learned: 2.0, 4.0, 400.0, 5.0;
}

#[test]
fn assumed_speeds_are_insufficient_for_engines_that_decode_slowly() {
    let engines = Engines {
        step: 2.0,
        per_weight: 4.0,
        prefill_rate: 400.0,
        event_tokens: 5.0,
    };
    let ratio = ratio_to_informed(engines, false);
    assert!(ratio > MAX_RATIO, "{ratio}");
}

#[test]
fn prefill_between_steps_is_not_contention() {
    let listed = Instant::now();
    let now = listed + Duration::from_secs(1);
    let mut rng = SmallRng::seed_from_u64(3);
    // Prompts are processed between the steps; the more requests there are, the more prompts.
    let engines = Engines {
        step: 2.9,
        per_weight: 1.0,
        prefill_rate: 55.0,
        event_tokens: 7.0,
    };
    let mut pool = engines.pool(Settings::default(), listed);
    let contention = |pool: &mut Pool| {
        let loads = (0..ENGINES).map(|index| (tag(&format!("i-{index}")), load(12.0, 0.0)));
        let loads = loads.collect();
        pool.set_remote_loads(&"m".to_owned(), loads);
        pool.contention("models")
    };
    let before = contention(&mut pool);
    engines.observe(&mut pool, now, &mut rng);
    assert!(pool.estimator("models").contention(12.0) > 2.0 * before);
    assert_eq!(contention(&mut pool), before);
}

//! Simulation of a model cascade under load: engines that decode in steps, and the decisions of a node.

mod fixture;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use route::cascade;
use route::pool::{Load, Outcome, Pool, Query, Settings, Work, load_of, name_hash};
use route::server::Listing;
use std::time::{Duration, Instant};

/// Simulated time of one step.
const STEP: Duration = Duration::from_millis(20);
/// Simulated time of a run.
const DURATION: Duration = Duration::from_secs(40);
/// Time for which a caller waits for the whole answer.
const DEADLINE: Duration = Duration::from_secs(12);
const ENGINES: usize = 4;
/// Share of requests that are too hard for the small model.
const HARD_SHARE: f64 = 0.42;
/// Confidence of the small model in its answers to easy and hard requests, in percent.
const CONFIDENCE: [std::ops::Range<f64>; 2] = [40.0..100.0, 0.0..60.0];

/// A request running on an engine.
struct Run {
    engine: usize,
    work: Work,
    model: &'static str,
    hard: bool,
    load: Load,
    prefill: f64,
    /// Milliseconds needed to process the rest of the prompt.
    prefill_millis: f64,
    /// Tokens left to decode.
    left: f64,
    answering: bool,
    since: Instant,
}

/// Number of requests and of good answers.
#[derive(Debug, Default)]
struct Tally {
    requests: u32,
    good: u32,
}

impl Tally {
    fn share(&self) -> f64 {
        f64::from(self.good) / f64::from(self.requests)
    }
}

struct Simulation {
    pool: Pool,
    settings: Settings,
    rng: SmallRng,
    runs: Vec<Run>,
    tally: Tally,
    /// Whether escalation takes the contention of the engines into account.
    contention_aware: bool,
}

fn models() -> [String; 3] {
    ["small", "middle", "large"].map(str::to_owned)
}

fn query<'a>(work: &'a Work, model: &'a str) -> Query<'a> {
    Query {
        service: "models",
        model: Some((model, cascade::relative_time(&models(), model))),
        model_hash: name_hash(model),
        work,
        zone: "a",
        tried: &[],
        draw: 0,
    }
}

impl Simulation {
    fn new(contention_aware: bool) -> Self {
        let mut pool = Pool::new(Settings::default());
        for index in 0..ENGINES {
            let listing = Listing {
                slots: 64,
                ..fixture::listing(&format!("i-{index}"), "a")
            };
            pool.upsert(Instant::now(), listing);
        }
        Self {
            pool,
            settings: Settings::default(),
            rng: SmallRng::seed_from_u64(7),
            runs: Vec::new(),
            tally: Tally::default(),
            contention_aware,
        }
    }

    fn begin(&mut self, now: Instant, since: Instant, work: Work, model: &'static str, hard: bool) {
        let query = query(&work, model);
        let Ok(listing) = self.pool.pick(now, &query, |_| true) else {
            return;
        };
        let prefill = self.pool.start_request(now, &listing.id, &query).own;
        let load = load_of(&query);
        self.runs.push(Run {
            engine: listing.id["i-".len()..].parse().unwrap(),
            model,
            hard,
            load,
            prefill,
            prefill_millis: prefill / self.settings.prefill_rate,
            left: work.output_tokens,
            work,
            answering: false,
            since,
        });
    }

    fn end(&mut self, now: Instant, run: &Run) {
        let id = format!("i-{}", run.engine);
        self.pool.finish_prefill(&id, run.prefill);
        self.pool
            .finish_request(now, &id, run.load, Outcome::Succeeded, &mut self.rng);
    }

    fn arrive(&mut self, now: Instant) {
        self.tally.requests += 1;
        let hard = self.rng.random_bool(HARD_SHARE);
        let own = format!("own-{}", self.tally.requests);
        let subject = format!("subject-{}", self.rng.random_range(0..20));
        let work = Work {
            parts: vec![(name_hash(&subject), 2000.0), (name_hash(&own), 2000.0)],
            prompt_tokens: 4000.0,
            output_tokens: self.rng.random_range(100.0..500.0),
            kilobytes: 4.0,
        };
        self.begin(now, now, work, "small", hard);
    }

    /// Runs all engines for one step. An engine processes prompts one after another and decodes the
    /// other requests in between.
    fn step(&mut self, now: Instant) {
        for engine in 0..ENGINES {
            let mut time = STEP.as_secs_f64() * 1e3;
            let on_engine = self.runs.iter_mut().filter(|run| run.engine == engine);
            let mut running: Vec<_> = on_engine.collect();
            let decoding = running.iter().filter(|run| run.prefill_millis <= 0.0);
            let weight: f64 = decoding.map(|run| run.load.weight).sum();
            for run in running.iter_mut().filter(|run| run.prefill_millis > 0.0) {
                let read = run.prefill_millis.min(time / 2.0);
                run.prefill_millis -= read;
                time -= read;
            }
            let step = self.settings.step.as_secs_f64() * 1e3
                + self.settings.step_per_weight.as_secs_f64() * 1e3 * weight;
            for run in running.iter_mut().filter(|run| run.prefill_millis <= 0.0) {
                run.left -= time / step;
            }
        }
        let runs = std::mem::take(&mut self.runs);
        for mut run in runs {
            let late = now - run.since > DEADLINE;
            if !run.answering && run.prefill_millis <= 0.0 && !late {
                run.answering = true;
                if self.escalates(&run) {
                    self.end(now, &run);
                    self.begin(now, run.since, run.work, "large", run.hard);
                    continue;
                }
            }
            if late || run.left <= 0.0 {
                self.end(now, &run);
                let good = !late && (run.model == "large" || !run.hard);
                self.tally.good += u32::from(good);
            } else {
                self.runs.push(run);
            }
        }
    }

    fn escalates(&mut self, run: &Run) -> bool {
        let confidence = self
            .rng
            .random_range(CONFIDENCE[usize::from(run.hard)].clone());
        let contention = match self.contention_aware {
            true => self.pool.contention("models"),
            false => 1.0,
        };
        cascade::escalate(&models(), run.model, confidence, contention).is_some()
    }

    /// Simulates a constant rate of requests per second; returns the share with a good answer in time.
    fn run(mut self, rate: f64) -> f64 {
        let start = Instant::now();
        let mut now = start;
        let mut due = 0.0;
        while now - start < DURATION {
            due += rate * STEP.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                self.arrive(now);
            }
            self.step(now);
            now += STEP;
        }
        self.tally.share()
    }
}

/// Each case: requests per second, and the minimum share of good answers in time. Without regard to
/// contention the shares are 0.92, 0.47 and 0.24.
macro_rules! loads {
    ($($name:ident: $rate:literal => $least:literal;)*) => {$(
        #[test]
        fn $name() {
            let (aware, unaware) = (Simulation::new(true).run($rate), Simulation::new(false).run($rate));
            assert!(aware >= $least, "{aware} (without regard to contention {unaware})");
            // Without contention both decide alike.
            assert!(aware >= unaware - 0.01, "{aware}, without regard to contention {unaware}");
        }
    )*};
}

loads! {
    a_light_load_is_answered_well: 4.0 => 0.9;
    a_heavy_load_is_answered_by_smaller_models: 24.0 => 0.7;
    an_overload_is_answered_by_the_smallest_model: 40.0 => 0.5;
}

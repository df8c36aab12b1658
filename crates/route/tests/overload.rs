//! What callers get of a cascade of models while engines are crowded: a played load on engines that
//! decode in steps, with the decisions of a node.

mod fixture;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use route::cascade;
use route::pool::{Load, Outcome, Pool, Query, Settings, Work, load_of, name_hash};
use route::server::Listing;
use std::time::{Duration, Instant};

/// Length of one step of the play.
const TICK: Duration = Duration::from_millis(20);
/// Length of the play.
const TIME: Duration = Duration::from_secs(40);
/// Time for which a caller waits for the whole answer.
const DEADLINE: Duration = Duration::from_secs(12);
const ENGINES: usize = 4;
/// Share of requests that are too hard for the small model.
const HARD: f64 = 0.42;
/// Opinion that the small model has of its answers to easy and hard requests, in percent.
const OPINIONS: [std::ops::Range<f64>; 2] = [40.0..100.0, 0.0..60.0];

/// A request that runs on an engine.
struct Run {
    engine: usize,
    work: Work,
    model: &'static str,
    hard: bool,
    load: Load,
    unread: f64,
    /// What it takes to read what is left of the prompt, in milliseconds.
    reading: f64,
    /// Tokens to be decoded.
    left: f64,
    begun: bool,
    since: Instant,
}

/// What came of the requests.
#[derive(Debug, Default)]
struct Tally {
    asked: u32,
    good: u32,
}

impl Tally {
    fn share(&self) -> f64 {
        f64::from(self.good) / f64::from(self.asked)
    }
}

struct Play {
    pool: Pool,
    settings: Settings,
    rng: SmallRng,
    runs: Vec<Run>,
    tally: Tally,
    /// Whether decisions take the crowd on the engines into account.
    looks: bool,
}

fn sizes() -> [String; 3] {
    ["small", "middle", "large"].map(str::to_owned)
}

fn query<'a>(work: &'a Work, model: &'a str) -> Query<'a> {
    Query {
        service: "models",
        model: Some((model, cascade::relative_time(&sizes(), model))),
        model_hash: name_hash(model),
        work,
        zone: "a",
        tried: &[],
        draw: 0,
    }
}

impl Play {
    fn new(looks: bool) -> Self {
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
            looks,
        }
    }

    fn begin(&mut self, now: Instant, since: Instant, work: Work, model: &'static str, hard: bool) {
        let query = query(&work, model);
        let Ok(listing) = self.pool.pick(now, &query, |_| true) else {
            return;
        };
        let unread = self.pool.start_request(now, &listing.id, &query).own;
        let load = load_of(&query);
        self.runs.push(Run {
            engine: listing.id["i-".len()..].parse().unwrap(),
            model,
            hard,
            load,
            unread,
            reading: unread / self.settings.prefill_rate,
            left: work.output_tokens,
            work,
            begun: false,
            since,
        });
    }

    fn end(&mut self, now: Instant, run: &Run) {
        let id = format!("i-{}", run.engine);
        self.pool.finish_prefill(&id, run.unread);
        self.pool
            .finish_request(now, &id, run.load, Outcome::Succeeded, &mut self.rng);
    }

    fn arrive(&mut self, now: Instant) {
        self.tally.asked += 1;
        let hard = self.rng.random_bool(HARD);
        let own = format!("own-{}", self.tally.asked);
        let subject = format!("subject-{}", self.rng.random_range(0..20));
        let work = Work {
            parts: vec![(name_hash(&subject), 2000.0), (name_hash(&own), 2000.0)],
            prompt_tokens: 4000.0,
            output_tokens: self.rng.random_range(100.0..500.0),
            kilobytes: 4.0,
        };
        self.begin(now, now, work, "small", hard);
    }

    /// Engines read prompts one after another, and decode the others between.
    fn step(&mut self, now: Instant) {
        for engine in 0..ENGINES {
            let mut time = TICK.as_secs_f64() * 1e3;
            let on_engine = self.runs.iter_mut().filter(|run| run.engine == engine);
            let mut running: Vec<_> = on_engine.collect();
            let decoding = running.iter().filter(|run| run.reading <= 0.0);
            let weight: f64 = decoding.map(|run| run.load.weight).sum();
            for run in running.iter_mut().filter(|run| run.reading > 0.0) {
                let read = run.reading.min(time / 2.0);
                run.reading -= read;
                time -= read;
            }
            let step = self.settings.step.as_secs_f64() * 1e3
                + self.settings.step_per_weight.as_secs_f64() * 1e3 * weight;
            for run in running.iter_mut().filter(|run| run.reading <= 0.0) {
                run.left -= time / step;
            }
        }
        let runs = std::mem::take(&mut self.runs);
        for mut run in runs {
            let late = now - run.since > DEADLINE;
            if !run.begun && run.reading <= 0.0 && !late {
                run.begun = true;
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
        let opinion = self
            .rng
            .random_range(OPINIONS[usize::from(run.hard)].clone());
        let crowding = match self.looks {
            true => self.pool.contention("models"),
            false => 1.0,
        };
        cascade::escalate(&sizes(), run.model, opinion, crowding).is_some()
    }

    /// Plays requests at a steady rate a second; gives the share that got a good answer in time.
    fn play(mut self, rate: f64) -> f64 {
        let start = Instant::now();
        let mut now = start;
        let mut due = 0.0;
        while now - start < TIME {
            due += rate * TICK.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                self.arrive(now);
            }
            self.step(now);
            now += TICK;
        }
        self.tally.share()
    }
}

/// Each case: requests a second, and the least share of good answers in time. Decisions that don't
/// look at the crowd give good answers to 0.92, 0.47 and 0.24 of the callers.
macro_rules! loads {
    ($($name:ident: $rate:literal => $least:literal;)*) => {$(
        #[test]
        fn $name() {
            let (looking, blind) = (Play::new(true).play($rate), Play::new(false).play($rate));
            assert!(looking >= $least, "{looking} (without a look at the crowd {blind})");
            // Where engines aren't crowded, both decide alike.
            assert!(looking >= blind - 0.01, "{looking}, without a look at the crowd {blind}");
        }
    )*};
}

loads! {
    a_light_load_is_answered_well: 4.0 => 0.9;
    a_heavy_load_is_answered_by_smaller_models: 24.0 => 0.7;
    an_overload_is_answered_by_the_smallest_model: 40.0 => 0.5;
}

//! What happens during a run.

use super::request::{Normal, requests};
use super::site::{Site, Version};
use super::strategy::Strategy;
use super::tally::Tally;
use super::world::{Disturbance, World};
use std::time::Duration;

/// Share of refused or late requests up to which a rate counts as carried.
const CARRIED: f64 = 0.01;

/// Seconds of requests in the search for the capacity.
const PROBE: Duration = Duration::from_secs(120);

/// Growth of the rate in the search for the capacity.
const GROWTH: f64 = 1.15;

/// Lowest rate in the search for the capacity, in requests a second.
const FIRST_RATE: f64 = 5.0;

/// Part of a run before what happens in it, for learning.
const BEFORE: f64 = 0.4;

/// Share of good answers of a version that has turned bad.
const BAD: f64 = 0.3;

/// What happens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Nothing.
    Steady,
    /// The cheapest version turns bad.
    Bad,
    /// A zone leaves and returns.
    Zone,
    /// A sound version of the cheapest model is rolled out.
    Sound,
    /// A bad version of the cheapest model is rolled out.
    Unsound,
}

/// What happens during a run, at which load.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub name: &'static str,
    pub kind: Kind,
    /// Rate relative to the capacity.
    pub load: f64,
}

impl Scenario {
    pub fn all() -> Vec<Self> {
        let scenario = |name, kind, load| Self { name, kind, load };
        vec![
            scenario("steady", Kind::Steady, 0.6),
            scenario("bad", Kind::Bad, 0.6),
            scenario("zone", Kind::Zone, 0.6),
            scenario("sound", Kind::Sound, 0.6),
            scenario("unsound", Kind::Unsound, 0.6),
            scenario("half", Kind::Steady, 0.5),
            scenario("full", Kind::Steady, 1.0),
            scenario("double", Kind::Steady, 2.0),
            scenario("fourfold", Kind::Steady, 4.0),
            scenario("eightfold", Kind::Steady, 8.0),
        ]
    }

    pub fn strategies(&self) -> Vec<Strategy> {
        let mut strategies = Strategy::baselines();
        strategies.extend(Strategy::without_each());
        strategies
    }

    pub fn run(
        &self,
        site: &Site,
        strategy: &Strategy,
        capacity: f64,
        seed: u64,
        seconds: u64,
    ) -> Tally {
        let length = Duration::from_secs(seconds);
        let mut site = site.clone();
        let rollout = match self.kind {
            Kind::Sound => Some(newer([0.97, 0.9, 0.65])),
            Kind::Unsound => Some(newer([0.5, 0.4, 0.2])),
            _ => None,
        };
        site.versions.extend(rollout);
        let config = site.config(rollout.map(|version| (version.model, version.name)));
        let requests = requests(&site, capacity * self.load, seed, length);
        let normal = Normal::new();
        let what = (&config, self.disturbance(length));
        World::new(&site, strategy, &requests, &normal, what).run(length)
    }

    /// When it happens.
    pub fn from(length: Duration) -> Duration {
        length.mul_f64(BEFORE)
    }

    /// When it is over, where it ends.
    pub fn until(length: Duration) -> Duration {
        length.mul_f64(BEFORE + 0.3)
    }

    fn disturbance(&self, length: Duration) -> Disturbance {
        let from = Self::from(length);
        match self.kind {
            Kind::Bad => Disturbance {
                turn: Some((from, BAD)),
                ..Default::default()
            },
            Kind::Zone => Disturbance {
                zone: Some((from, Self::until(length))),
                ..Default::default()
            },
            _ => Disturbance::default(),
        }
    }
}

/// The highest rate at which nearly all requests are answered in time.
pub fn capacity(site: &Site, seed: u64) -> f64 {
    let strategy = Strategy::default();
    let config = site.config(None);
    let normal = Normal::new();
    let mut rate = FIRST_RATE;
    loop {
        let requests = requests(site, rate, seed, PROBE);
        let what = (&config, Disturbance::default());
        let tally = World::new(site, &strategy, &requests, &normal, what).run(PROBE);
        if tally.refused() + tally.late() > CARRIED {
            return rate / GROWTH;
        }
        rate *= GROWTH;
    }
}

fn newer(quality: [f64; 3]) -> Version {
    Version {
        model: "small",
        name: "2",
        input_micros: 15,
        output_micros: 45,
        prior: 0.85,
        quality,
        token_ms: 4.0,
        prompt_ms: 0.05,
        slots: 16,
        servers: 3,
    }
}

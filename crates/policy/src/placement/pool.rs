//! Backend servers of one version, indexed for placement.

use crate::placement::query::{hash, mix};
use crate::placement::{Load, Query, Settings};
use contract::{BackendId, Map, ZoneId};
use rand::Rng;

/// Points that each backend server has on the ring.
const POINTS: u64 = 8;

/// Ring points examined for the replicas of a key.
const MAX_STEPS: usize = 16;

/// Backend servers of one version. Building sorts them once; a choice looks at a few.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    settings: Settings,
    servers: Vec<Server>,
    names: Map<BackendId, usize>,
    ring: Vec<(u64, usize)>,
    zones: Map<ZoneId, Vec<usize>>,
}

#[derive(Clone, Debug)]
struct Server {
    name: BackendId,
    zone: ZoneId,
}

/// The best backend server found so far.
struct Best {
    index: usize,
    loss: f64,
}

impl Pool {
    /// Indexes backend servers, given by name and availability zone.
    ///
    /// ```
    /// use policy::placement::{Pool, Settings};
    /// let pool = Pool::new(Settings::default(), [("10.0.0.1:80".into(), "a".into())]);
    /// assert_eq!(pool.name(0), "10.0.0.1:80");
    /// ```
    pub fn new(settings: Settings, servers: impl IntoIterator<Item = (BackendId, ZoneId)>) -> Self {
        let mut pool = Self {
            settings,
            ..Default::default()
        };
        for (name, zone) in servers {
            pool.add(name, zone);
        }
        pool.ring.sort_unstable();
        pool
    }

    /// Number of backend servers.
    ///
    /// ```
    /// assert_eq!(policy::placement::Pool::default().len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether there is no backend server.
    ///
    /// ```
    /// assert!(policy::placement::Pool::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Name of a backend server.
    ///
    /// ```
    /// # use policy::placement::{Pool, Settings};
    /// let pool = Pool::new(Settings::default(), [("s".into(), "a".into())]);
    /// assert_eq!(pool.name(0), "s");
    /// ```
    pub fn name(&self, index: usize) -> &str {
        &self.servers[index].name
    }

    /// Chooses a backend server. `load` gives a server's load, or none when it may take no request;
    /// such a server is never chosen. Those that likely hold the prefix are weighed against a few
    /// drawn at random, so that nodes with the same late reports don't all pick the same one.
    ///
    /// ```
    /// use policy::placement::{Load, Pool, Query, Settings};
    /// use rand::{rngs::SmallRng, SeedableRng};
    /// let names = ["s1", "s2"].map(|name| (name.into(), "a".into()));
    /// let pool = Pool::new(Settings::default(), names);
    /// let load = |index: usize| (index == 1).then(|| Load { free_slots: 1, capacity: 4, ..Default::default() });
    /// let mut rng = SmallRng::seed_from_u64(7);
    /// assert_eq!(pool.choose(&Query::default(), load, &mut rng), Some(1));
    /// ```
    pub fn choose(
        &self,
        query: &Query,
        load: impl Fn(usize) -> Option<Load>,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        if self.servers.is_empty() {
            return None;
        }
        let avoid = query.avoid.and_then(|name| self.names.get(name)).copied();
        let mut best = None;
        let mut weigh = |index: usize, gain: f64| {
            if Some(index) != avoid {
                self.weigh(query, &load, &mut best, index, gain);
            }
        };
        if let Some(index) = query.preferred.and_then(|name| self.names.get(name)) {
            weigh(*index, self.settings.prefix_affinity);
        }
        if let Some(key) = query.prefix_hash {
            self.holders(key, |index| weigh(index, self.settings.prefix_affinity));
        }
        self.draw(query, rng, |index| weigh(index, 0.0));
        best.map(|best: Best| best.index)
            .or_else(|| self.scan(&load, avoid, rng))
            .or_else(|| avoid.filter(|index| load(*index).is_some()))
    }

    fn add(&mut self, name: BackendId, zone: ZoneId) {
        let index = self.servers.len();
        let base = hash(name.as_str());
        self.ring
            .extend((0..POINTS).map(|point| (mix(base ^ mix(point)), index)));
        self.zones.entry(zone.clone()).or_default().push(index);
        self.names.insert(name.clone(), index);
        self.servers.push(Server { name, zone });
    }

    fn weigh(
        &self,
        query: &Query,
        load: &impl Fn(usize) -> Option<Load>,
        best: &mut Option<Best>,
        index: usize,
        gain: f64,
    ) {
        let Some(load) = load(index) else {
            return;
        };
        let mut loss = load.utilization() - gain;
        if self.servers[index].zone != query.zone {
            loss += self.settings.cross_zone_penalty;
        }
        if load.cold {
            loss += self.settings.cold_start_penalty;
        }
        if best.as_ref().is_none_or(|best| loss < best.loss) {
            *best = Some(Best { index, loss });
        }
    }

    /// The backend servers that share a key: the next distinct ones on the ring.
    fn holders(&self, key: u64, mut visit: impl FnMut(usize)) {
        let start = self.ring.partition_point(|(point, _)| *point < key);
        let around = self.ring[start..].iter().chain(&self.ring[..start]);
        let mut last = None;
        let mut found = 0;
        for (_, index) in around.take(MAX_STEPS) {
            if last == Some(*index) {
                continue;
            }
            visit(*index);
            last = Some(*index);
            found += 1;
            if found == self.settings.replicas {
                return;
            }
        }
    }

    /// Draws from the query's availability zone, and one from anywhere.
    fn draw(&self, query: &Query, rng: &mut impl Rng, mut visit: impl FnMut(usize)) {
        if let Some(near) = self.zones.get(query.zone) {
            for _ in 0..self.settings.random_candidates {
                visit(near[rng.random_range(0..near.len())]);
            }
        }
        visit(rng.random_range(0..self.servers.len()));
    }

    /// The first backend server with a free slot from a random start on.
    fn scan(
        &self,
        load: &impl Fn(usize) -> Option<Load>,
        avoid: Option<usize>,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let count = self.servers.len();
        let start = rng.random_range(0..count);
        (start..start + count)
            .map(|index| index % count)
            .find(|index| Some(*index) != avoid && load(*index).is_some())
    }
}

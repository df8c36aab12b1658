//! Backend servers of one version, indexed for placement.

use crate::placement::query::{hash, mix};
use crate::placement::{Load, Query, Settings};
use contract::{BackendId, Map, ZoneId};
use rand::Rng;

/// Points of each backend server on the consistent-hashing ring.
const POINTS_PER_SERVER: u64 = 8;

/// Maximum number of ring points examined to find the replicas of a prefix hash.
const MAX_RING_STEPS: usize = 16;

/// Backend servers of one version or service. Building the index sorts all servers; a choice
/// examines only a few of them.
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

/// Lowest-cost backend server found so far.
struct Best {
    index: usize,
    cost: f64,
}

impl Pool {
    /// Builds an index of backend servers, given by name and availability zone.
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

    /// Returns the number of backend servers.
    ///
    /// ```
    /// assert_eq!(policy::placement::Pool::default().len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether the pool has no backend servers.
    ///
    /// ```
    /// assert!(policy::placement::Pool::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Returns the name of a backend server.
    ///
    /// ```
    /// # use policy::placement::{Pool, Settings};
    /// let pool = Pool::new(Settings::default(), [("s".into(), "a".into())]);
    /// assert_eq!(pool.name(0), "s");
    /// ```
    pub fn name(&self, index: usize) -> &str {
        &self.servers[index].name
    }

    /// Chooses a backend server. `load` returns a server's load, or `None` if the server can't
    /// accept a request; such a server is never chosen. The session's server and those that likely
    /// hold the prefix in their cache compete with a few chosen at random, so that nodes with the
    /// same outdated load reports don't all choose the same server. If none of them accepts
    /// requests, all servers are scanned, and the one to avoid is the last resort.
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
        let mut consider = |index: usize, bonus: f64| {
            if Some(index) != avoid {
                self.consider(query, &load, &mut best, index, bonus);
            }
        };
        if let Some(index) = query.preferred.and_then(|name| self.names.get(name)) {
            consider(*index, self.settings.prefix_affinity);
        }
        if let Some(prefix_hash) = query.prefix_hash {
            self.visit_replicas(prefix_hash, |index| {
                consider(index, self.settings.prefix_affinity)
            });
        }
        self.visit_random(query, rng, |index| consider(index, 0.0));
        best.map(|best: Best| best.index)
            .or_else(|| self.scan(&load, avoid, rng))
            .or_else(|| avoid.filter(|index| load(*index).is_some()))
    }

    fn add(&mut self, name: BackendId, zone: ZoneId) {
        let index = self.servers.len();
        let base = hash(name.as_str());
        self.ring
            .extend((0..POINTS_PER_SERVER).map(|point| (mix(base ^ mix(point)), index)));
        self.zones.entry(zone.clone()).or_default().push(index);
        self.names.insert(name.clone(), index);
        self.servers.push(Server { name, zone });
    }

    fn consider(
        &self,
        query: &Query,
        load: &impl Fn(usize) -> Option<Load>,
        best: &mut Option<Best>,
        index: usize,
        bonus: f64,
    ) {
        let Some(load) = load(index) else {
            return;
        };
        let mut cost = load.utilization() - bonus;
        if self.servers[index].zone != query.zone {
            cost += self.settings.cross_zone_penalty;
        }
        if load.cold {
            cost += self.settings.cold_start_penalty;
        }
        if best.as_ref().is_none_or(|best| cost < best.cost) {
            *best = Some(Best { index, cost });
        }
    }

    /// Visits the replicas of a prefix hash: the next distinct backend servers on the ring.
    fn visit_replicas(&self, prefix_hash: u64, mut visit: impl FnMut(usize)) {
        let start = self.ring.partition_point(|(point, _)| *point < prefix_hash);
        let clockwise = self.ring[start..].iter().chain(&self.ring[..start]);
        let mut last = None;
        let mut found = 0;
        for (_, index) in clockwise.take(MAX_RING_STEPS) {
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

    /// Visits random backend servers: some of this node's availability zone and one of all.
    fn visit_random(&self, query: &Query, rng: &mut impl Rng, mut visit: impl FnMut(usize)) {
        if let Some(in_zone) = self.zones.get(query.zone) {
            for _ in 0..self.settings.random_candidates {
                visit(in_zone[rng.random_range(0..in_zone.len())]);
            }
        }
        visit(rng.random_range(0..self.servers.len()));
    }

    /// Returns the first backend server that accepts requests, starting from a random one.
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

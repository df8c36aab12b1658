//! Starts of backend servers that have said that they are leaving.

use crate::ServerId;
use lru::LruCache;
use rustc_hash::FxBuildHasher;

/// Maximum number of servers remembered; the one that said so longest ago is forgotten first.
const CAPACITY: usize = 4096;

/// Starts of backend servers that have said that they are leaving, in the answers themselves.
///
/// ```
/// let mut departures = route::pool::Departures::default();
/// assert!(departures.insert("i-1", 5));
/// assert!(!departures.insert("i-1", 5));
/// assert!(departures.contains("i-1", 5));
/// assert!(!departures.contains("i-1", 6));
/// ```
#[derive(Clone, Debug)]
pub struct Departures(LruCache<ServerId, u64, FxBuildHasher>);

impl Default for Departures {
    fn default() -> Self {
        Self(LruCache::unbounded_with_hasher(FxBuildHasher))
    }
}

impl Departures {
    /// Adds a start of a server; returns whether it is new. An earlier start doesn't replace a later
    /// one.
    pub fn insert(&mut self, id: &str, started_ms: u64) -> bool {
        if self.0.peek(id).is_some_and(|known| *known >= started_ms) {
            return false;
        }
        self.0.put(id.to_owned(), started_ms);
        if self.0.len() > CAPACITY {
            self.0.pop_lru();
        }
        true
    }

    /// Whether this start of a server has said that it is leaving.
    pub fn contains(&self, id: &str, started_ms: u64) -> bool {
        self.0.peek(id) == Some(&started_ms)
    }

    /// Iterates over the starts.
    pub fn iter(&self) -> impl Iterator<Item = (&ServerId, u64)> {
        self.0.iter().map(|(id, started_ms)| (id, *started_ms))
    }
}

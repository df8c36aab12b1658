//! Part of a backend server's limit that one node may use.

/// Requests per second that a backend server takes from all nodes together.
pub type Rate = f64;

/// Largest rate that counts as a limit.
pub(super) const MAX_RATE: Rate = 1e6;
/// Fraction of the limit that is divided among the nodes. The rest is left for nodes that the others
/// don't know of yet.
const SHARED_FRACTION: f64 = 0.9;
/// Requests that all nodes together may send at once, beyond one second of the limit.
const EXTRA_BURST: f64 = 2.0;

/// Part of a backend server's limit that one node may use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// Requests per second.
    pub rate: Rate,
    /// Requests that may be sent at once.
    pub burst: f64,
    /// Number of nodes that probe the server before this one.
    pub rank: usize,
}

impl Share {
    /// Divides a limit among nodes. Each node with a share may send one request at once, so only as
    /// many nodes have one as the limit bears; `rank` is the number of nodes before this one.
    ///
    /// ```
    /// use route::pool::Share;
    /// let shares: Vec<_> = (0..100).map(|rank| Share::of(1.0, rank, 100)).collect();
    /// assert!(shares.iter().map(|share| share.rate).sum::<f64>() <= 1.0);
    /// assert_eq!(shares.iter().filter(|share| share.rate > 0.0).count(), 3);
    /// ```
    pub fn of(limit: Rate, rank: usize, nodes: usize) -> Self {
        let limit = limit.min(MAX_RATE);
        let burst = limit.floor() + EXTRA_BURST;
        let sharing = burst.min(nodes.max(1) as f64);
        match (rank as f64) < sharing {
            true => Self {
                rate: limit * SHARED_FRACTION / sharing,
                burst: burst / sharing,
                rank,
            },
            false => Self {
                rank,
                ..Self::default()
            },
        }
    }
}

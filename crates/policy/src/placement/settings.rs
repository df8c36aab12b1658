//! Settings of placement.

/// Weights of the placement cost, as shares of a backend server's capacity.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Bonus for a backend server that likely has the prompt prefix in its cache.
    pub prefix_affinity: f64,
    /// Penalty for a backend server in another availability zone.
    pub cross_zone_penalty: f64,
    /// Penalty for a backend server in cold start.
    pub cold_start_penalty: f64,
    /// Number of backend servers that serve the same prefix.
    pub replicas: usize,
    /// Number of backend servers of this node's zone sampled for each choice.
    pub random_candidates: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            prefix_affinity: 0.35,
            cross_zone_penalty: 0.1,
            cold_start_penalty: 0.5,
            replicas: 2,
            random_candidates: 2,
        }
    }
}

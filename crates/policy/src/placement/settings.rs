//! Settings of placement.

/// What a backend server's distance, cache and temperature are worth, as shares of its full load.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Gain of a backend server that likely holds the prompt's prefix.
    pub prefix_affinity: f64,
    /// Loss of a backend server in another availability zone.
    pub cross_zone_penalty: f64,
    /// Loss of a backend server in cold start.
    pub cold_start_penalty: f64,
    /// Backend servers that share a prefix.
    pub replicas: usize,
    /// Backend servers drawn at random for each choice.
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

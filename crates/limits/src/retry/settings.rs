//! Settings of the token bucket for extra requests.

/// Limits on the extra requests that go to backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Extra requests allowed per first request. Each node applies the ratio to its own requests,
    /// so it holds for the fleet as a whole too.
    pub ratio: f64,
    /// Extra requests per second allowed regardless of first requests.
    pub min_per_s: f64,
    /// Capacity of the bucket: extra requests that can accumulate.
    pub burst: f64,
}

impl Settings {
    /// Settings for hedged requests, which are allowed less often than retries.
    ///
    /// ```
    /// let hedge = limits::retry::Settings::hedge();
    /// assert!(hedge.ratio < limits::retry::Settings::default().ratio);
    /// ```
    pub fn hedge() -> Self {
        Self {
            ratio: 0.05,
            min_per_s: 0.0,
            burst: 10.0,
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            min_per_s: 0.5,
            burst: 20.0,
        }
    }
}

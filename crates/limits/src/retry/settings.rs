//! Settings of a budget of extra requests.

/// How many extra requests go to backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Extra requests for each first request. As each node keeps to its own requests, the fleet
    /// keeps to the same share.
    pub ratio: f64,
    /// Extra requests a second that are allowed without any first request.
    pub min_per_s: f64,
    /// Extra requests that can be saved up.
    pub burst: f64,
}

impl Settings {
    /// Settings for hedged requests, which are rarer than retries.
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

//! Settings of roll-outs.

/// Settings of the trial and the takeover. Times are fractions of the duration that the operator sets.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Share of sessions that the new version gets on trial.
    pub trial_share: f64,
    /// Start of the trial. The new version gets no requests before it, while the nodes exchange
    /// their sessions.
    pub trial_start: f64,
    /// Times from which sessions may move to the new version, each with the share that it gets.
    pub steps: [(f64, f64); 3],
    /// Time from which only the new version serves.
    pub completion_start: f64,
    /// Minimum number of answers of the new version before it can be judged bad.
    pub min_answers: u32,
    /// Minimum number of answers of the new version before it can get more than the trial share.
    pub min_answers_to_shift: u32,
    /// Difference between the shares of bad answers above which the new version is judged bad.
    pub bad_margin: f64,
    /// Minimum z-score of that difference.
    pub z_threshold: f64,
    /// Difference above which the new version doesn't take over, even if the evidence is too weak to
    /// judge it bad.
    pub doubt_margin: f64,
    /// Minimum z-score of that difference.
    pub doubt_z_threshold: f64,
    /// Like `bad_margin`, for the shares of slow answers, which vary more.
    pub slow_margin: f64,
    /// Like `doubt_margin`, for the shares of slow answers.
    pub doubt_slow_margin: f64,
    /// Fraction of the allowed exposure that is used on trial, because requests in flight aren't
    /// counted yet.
    pub exposure_fraction: f64,
    /// Share of all requests of the service that a version on trial may get.
    pub expose_share: f64,
    /// Number of requests that it may get beyond that share.
    pub expose_extra: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            trial_share: 0.08,
            trial_start: 0.05,
            steps: [(0.52, 0.25), (0.60, 0.5), (0.67, 1.0)],
            completion_start: 0.88,
            min_answers: 8,
            min_answers_to_shift: 40,
            bad_margin: 0.05,
            z_threshold: 3.0,
            doubt_margin: 0.04,
            doubt_z_threshold: 2.0,
            slow_margin: 0.25,
            doubt_slow_margin: 0.2,
            exposure_fraction: 0.75,
            expose_share: 0.1,
            expose_extra: 10.0,
        }
    }
}

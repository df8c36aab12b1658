//! Settings of roll-outs.

/// How a new version is tried and taken over. Times are parts of the time that the operator gives.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Share of sessions that the new version gets on trial.
    pub trial_share: f64,
    /// From when on the new version gets none yet: nodes tell each other their sessions first.
    pub trial_start: f64,
    /// From when on sessions may move to the new version, and the share that it gets then.
    pub steps: [(f64, f64); 3],
    /// From when on the new version serves alone.
    pub completion_start: f64,
    /// Answers of the new version without which it isn't judged bad.
    pub min_answers: u32,
    /// Answers of the new version with which it may get more than on trial.
    pub min_answers_to_shift: u32,
    /// Difference of the shares of bad answers above which it is judged bad.
    pub bad_margin: f64,
    /// Standard deviations that this difference must be away from none.
    pub z_threshold: f64,
    /// Difference with which it isn't taken over: too little is known to call it bad.
    pub doubt_margin: f64,
    /// Standard deviations that this difference must be away from none.
    pub doubt_z_threshold: f64,
    /// The same as `worse` for the shares of slow answers, which vary more.
    pub slow_margin: f64,
    /// The same as `doubtful` for the shares of slow answers.
    pub doubt_slow_margin: f64,
    /// Part of the allowed exposure that is used on trial: answers under way aren't counted yet.
    pub exposure_fraction: f64,
    /// Share of all requests of the service that a version on trial may get.
    pub expose_share: f64,
    /// Requests beyond that share.
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

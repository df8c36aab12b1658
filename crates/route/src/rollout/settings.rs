//! Settings of roll-outs.

/// How a new version is tried and taken over. Times are parts of the time that the operator gives.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Share of sessions that the new version gets on trial.
    pub trial_share: f64,
    /// From when on the new version gets none yet: nodes tell each other their sessions first.
    pub trial_from: f64,
    /// From when on sessions may move to the new version, and the share that it gets then.
    pub steps: [(f64, f64); 3],
    /// From when on the new version serves alone.
    pub complete_from: f64,
    /// Answers of the new version without which it isn't judged bad.
    pub least_known: u32,
    /// Answers of the new version with which it may get more than on trial.
    pub enough_known: u32,
    /// Difference of the shares of bad answers above which it is judged bad.
    pub worse: f64,
    /// Standard deviations that this difference must be away from none.
    pub deviation: f64,
    /// Difference with which it isn't taken over: too little is known to call it bad.
    pub doubtful: f64,
    /// Standard deviations that this difference must be away from none.
    pub doubtful_deviation: f64,
    /// The same as `worse` for the shares of slow answers, which vary more.
    pub slower: f64,
    /// The same as `doubtful` for the shares of slow answers.
    pub doubtful_slower: f64,
    /// Part of the allowed exposure that is used on trial: answers under way aren't counted yet.
    pub exposure_part: f64,
    /// Share of all requests of the service that a version on trial may get.
    pub expose_share: f64,
    /// Requests beyond that share.
    pub expose_extra: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            trial_share: 0.08,
            trial_from: 0.05,
            steps: [(0.52, 0.25), (0.60, 0.5), (0.67, 1.0)],
            complete_from: 0.88,
            least_known: 8,
            enough_known: 40,
            worse: 0.05,
            deviation: 3.0,
            doubtful: 0.04,
            doubtful_deviation: 2.0,
            slower: 0.25,
            doubtful_slower: 0.2,
            exposure_part: 0.75,
            expose_share: 0.1,
            expose_extra: 10.0,
        }
    }
}

//! Detects that the process was paused.

use std::time::{Duration, Instant, SystemTime};

/// Time between two checks above which the process counts as paused.
const MAX_GAP: Duration = Duration::from_secs(1);

/// Counts regular checks since the process started or was last paused.
///
/// What a paused process knows of other nodes is from before the pause. The monotonic clock may stand
/// still during a pause, so the time of day is compared too; a clock step then counts as a pause.
#[derive(Debug)]
pub struct Detector {
    last: (Instant, SystemTime),
    checks: u32,
}

impl Detector {
    /// Creates a detector whose first check follows.
    pub fn new(now: Instant, time_of_day: SystemTime) -> Self {
        Self {
            last: (now, time_of_day),
            checks: 0,
        }
    }

    /// Counts a check. Returns the number of checks since the start or the last pause, without those
    /// that ended them.
    ///
    /// ```
    /// use edge::pause::Detector;
    /// use std::time::{Duration, Instant, SystemTime};
    /// let (now, time_of_day) = (Instant::now(), SystemTime::now());
    /// let after = |millis| {
    ///     let time = Duration::from_millis(millis);
    ///     (now + time, time_of_day + time)
    /// };
    /// let mut detector = Detector::new(now, time_of_day);
    /// let mut check = |millis| {
    ///     let (now, time_of_day) = after(millis);
    ///     detector.check(now, time_of_day)
    /// };
    /// assert_eq!((check(150), check(300)), (1, 2));
    /// assert_eq!((check(4000), check(4150)), (0, 1));
    /// ```
    pub fn check(&mut self, now: Instant, time_of_day: SystemTime) -> u32 {
        let (last, last_time_of_day) = std::mem::replace(&mut self.last, (now, time_of_day));
        let gap = now.saturating_duration_since(last);
        let gap_of_day = time_of_day
            .duration_since(last_time_of_day)
            .unwrap_or(Duration::MAX);
        self.checks = match gap.max(gap_of_day) > MAX_GAP {
            true => 0,
            false => self.checks.saturating_add(1),
        };
        self.checks
    }
}

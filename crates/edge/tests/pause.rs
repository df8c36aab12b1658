//! Detection of pauses of the process.

use edge::pause::Detector;
use std::time::{Duration, Instant, SystemTime};

const CHECK: Duration = Duration::from_millis(150);
const PAUSE: Duration = Duration::from_secs(4);

/// Checks before and after a gap, by which the two clocks move on.
fn checks_after(gap: Duration, gap_of_day: Duration) -> u32 {
    let (now, time_of_day) = (Instant::now(), SystemTime::now());
    let mut detector = Detector::new(now, time_of_day);
    for index in 1..=8 {
        assert_eq!(
            detector.check(now + CHECK * index, time_of_day + CHECK * index),
            index
        );
    }
    detector.check(now + CHECK * 8 + gap, time_of_day + CHECK * 8 + gap_of_day)
}

/// Each case is a test by its own name.
macro_rules! cases {
    ($($name:ident($gap:expr, $gap_of_day:expr, $checks:expr))*) => {$(
        #[test]
        fn $name() {
            assert_eq!(checks_after($gap, $gap_of_day), $checks);
        }
    )*};
}

cases! {
    a_stopped_process_begins_anew(PAUSE, PAUSE, 0)
    a_suspension_that_the_monotonic_clock_misses_is_noticed(CHECK, PAUSE, 0)
    a_late_check_is_no_pause(CHECK * 5, CHECK * 5, 9)
    regular_checks_are_counted(CHECK, CHECK, 9)
}

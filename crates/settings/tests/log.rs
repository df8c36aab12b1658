//! The limiter log: a budget of lines, and a queue that never makes anybody wait.

use log::{Level, Log, Metadata, Record};
use settings::log::{Drops, Limiter, Limits, Queue};
use std::io::Write;
use std::sync::Mutex;
use std::time::{Duration, Instant};

#[derive(Debug, Default)]
struct Seen(Mutex<Vec<Level>>);

impl Log for &Seen {
    fn enabled(&self, _: &Metadata) -> bool {
        true
    }

    fn log(&self, record: &Record) {
        self.0.lock().unwrap().push(record.level());
    }

    fn flush(&self) {}
}

#[test]
fn failures_are_kept_when_the_usual_lines_are_over_their_budget() {
    let seen = Seen::default();
    let drops = Drops::default();
    let limits = Limits {
        info_per_s: 10,
        warn_per_s: 5,
        ..Limits::default()
    };
    let logger = Limiter::new(&seen, limits, drops.clone());
    let begun = Instant::now();
    for level in [Level::Info, Level::Warn] {
        for _ in 0..100 {
            logger.log(&Record::builder().level(level).build());
        }
    }
    assert!(begun.elapsed() < Duration::from_secs(1), "one window");
    let seen = seen.0.lock().unwrap();
    let count = |level| seen.iter().filter(|seen| **seen == level).count();
    assert_eq!((count(Level::Info), count(Level::Warn)), (10, 5));
    assert_eq!(drops.count(), 185);
}

#[test]
fn a_full_queue_drops_and_counts() {
    let mut queue = Queue::start(4).unwrap();
    let drops = queue.drops();
    let begun = Instant::now();
    for _ in 0..10_000 {
        queue.write_all(b"\n").unwrap();
    }
    assert!(begun.elapsed() < Duration::from_secs(1), "nobody waits");
    assert!(drops.count() > 9_000, "{} dropped", drops.count());
}

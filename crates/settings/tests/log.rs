//! Rate limits of log lines, and the queue that never blocks a caller that logs.

use log::{Level, Log, Metadata, Record};
use settings::log::{Drops, Limiter, Limits, Queue};
use std::io::Write;
use std::sync::Mutex;
use std::time::{Duration, Instant};

#[derive(Debug, Default)]
struct Recorder(Mutex<Vec<Level>>);

impl Log for &Recorder {
    fn enabled(&self, _: &Metadata) -> bool {
        true
    }

    fn log(&self, record: &Record) {
        self.0.lock().unwrap().push(record.level());
    }

    fn flush(&self) {}
}

#[test]
fn warnings_are_kept_when_info_lines_exceed_their_limit() {
    let recorder = Recorder::default();
    let drops = Drops::default();
    let limits = Limits {
        info_per_s: 10,
        warn_per_s: 5,
        ..Limits::default()
    };
    let logger = Limiter::new(&recorder, limits, drops.clone());
    let start = Instant::now();
    for level in [Level::Info, Level::Warn] {
        for _ in 0..100 {
            logger.log(&Record::builder().level(level).build());
        }
    }
    assert!(
        start.elapsed() < Duration::from_secs(1),
        "the lines took longer than one window"
    );
    let levels = recorder.0.lock().unwrap();
    let count = |level| levels.iter().filter(|logged| **logged == level).count();
    assert_eq!((count(Level::Info), count(Level::Warn)), (10, 5));
    assert_eq!(drops.count(), 185);
}

#[test]
fn full_queue_drops_and_counts_lines() {
    let mut queue = Queue::start(4).unwrap();
    let drops = queue.drops();
    let start = Instant::now();
    for _ in 0..10_000 {
        queue.write_all(b"\n").unwrap();
    }
    assert!(start.elapsed() < Duration::from_secs(1), "a write blocked");
    assert!(drops.count() > 9_000, "{} dropped", drops.count());
}

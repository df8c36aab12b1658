//! Parts of prompts that crash backend servers, among parts that are sound.

use limits::poison::{Admission, Block, Detector, Part, Settings};
use std::time::{Duration, Instant};

const POISON: Part = 1;
const COMMON: Part = 2;
const RARE: Part = 3;
const OTHER: Part = 4;

/// A detector and a clock.
struct World {
    detector: Detector,
    now: Instant,
    servers: u32,
    requests: u64,
}

impl World {
    fn new() -> Self {
        Self {
            detector: Detector::default(),
            now: Instant::now(),
            servers: 0,
            requests: 0,
        }
    }

    /// One request crashes several backend servers, a fifth of a second apart.
    fn crash(&mut self, parts: &[Part], servers: u32) {
        self.requests += 1;
        for _ in 0..servers {
            self.now += Duration::from_millis(200);
            self.servers += 1;
            let server = format!("e{}", self.servers);
            let candidates = self.detector.candidates(self.now, parts.to_vec());
            for part in &candidates {
                self.detector
                    .record_crash(self.now, *part, self.requests, &server);
            }
            for part in candidates {
                self.detector.try_block(self.now, part);
            }
        }
    }

    fn answer(&mut self, part: Part) -> bool {
        self.detector.record_answer(self.now, part)
    }

    fn admit(&mut self, part: Part) -> Admission {
        self.detector.admit(self.now, [part], |_| true)
    }

    fn admit_all(&mut self, parts: &[Part]) -> Admission {
        let parts = parts.iter().copied();
        self.detector.admit(self.now, parts, |_| true)
    }

    fn is_blocked(&mut self, part: Part) -> bool {
        matches!(self.admit(part), Admission::Blocked(_))
    }
}

fn block(parts: &[Part]) -> Block {
    Block {
        parts: parts.to_vec(),
        level: 1,
    }
}

/// Two requests with a part that nobody has answered crash four servers.
fn tied() -> World {
    let mut world = World::new();
    world.crash(&[RARE, POISON], 2);
    world.crash(&[RARE, POISON], 2);
    let blocked = world.admit_all(&[RARE, POISON]);
    assert!(matches!(blocked, Admission::Blocked(_)));
    world
}

/// Guards against the block of a sound part in place of one that shares all of its crashes.
#[test]
fn parts_that_share_all_crashes_are_blocked_only_together() {
    let mut world = tied();
    assert_eq!(world.admit(RARE), Admission::Probe);
    assert!(world.is_blocked(RARE), "one trial at a time");
    assert!(world.answer(RARE));
    assert_eq!(world.admit(RARE), Admission::Open);
    assert!(world.is_blocked(POISON), "no other part is left");
}

/// Guards against a trial whose server crashes for another reason: that alone must not free the poison
/// part.
#[test]
fn two_crashes_of_trials_show_which_part_causes_them() {
    let mut world = tied();
    assert_eq!(world.admit_all(&[OTHER, POISON]), Admission::Probe);
    world.crash(&[OTHER, POISON], 1);
    assert_eq!(world.admit(RARE), Admission::Probe);
    world.crash(&[OTHER, POISON], 1);
    assert!(world.is_blocked(POISON));
    assert_eq!(world.admit_all(&[RARE, OTHER]), Admission::Open);
}

/// Guards against trials that wait for one whose outcome never comes.
#[test]
fn a_trial_without_an_outcome_makes_way_for_the_next() {
    let mut world = tied();
    assert_eq!(world.admit(RARE), Admission::Probe);
    world.now += Settings::default().trial_timeout;
    assert_eq!(world.admit(RARE), Admission::Probe);
}

/// Guards against a probe that no node may send, since each part of a block has another one.
#[test]
fn parts_that_are_blocked_together_are_probed_by_one_node() {
    for first in [POISON, RARE] {
        let mut world = tied();
        world.now += Settings::default().min_block;
        let parts = [RARE, POISON];
        let admission = world.detector.admit(world.now, parts, |part| part == first);
        assert_eq!(admission == Admission::Probe, first == POISON.min(RARE));
    }
}

/// Guards against nodes that know less and loosen a block, or lose what they could learn.
#[test]
fn nodes_take_over_the_strictest_block() {
    let mut world = World::new();
    let group = block(&[POISON, RARE]);
    assert_eq!(
        world.detector.record_block(world.now, &group),
        Some(group.clone())
    );
    assert_eq!(world.admit(RARE), Admission::Probe);
    assert!(world.detector.blocks(world.now).eq([group.clone()]));
    let single = block(&[POISON]);
    assert!(world.detector.record_block(world.now, &single).is_some());
    assert_eq!(world.admit(RARE), Admission::Open);
    assert!(world.detector.record_block(world.now, &group).is_none());
    let mut informed = World::new();
    informed.answer(RARE);
    let applied = informed.detector.record_block(informed.now, &group);
    assert_eq!(applied, Some(single));
}

#[test]
fn a_part_that_crashes_three_servers_is_blocked() {
    let mut world = World::new();
    world.answer(COMMON);
    world.crash(&[COMMON, POISON], 2);
    assert!(!world.is_blocked(POISON));
    world.crash(&[COMMON, POISON], 1);
    assert!(world.is_blocked(POISON));
    assert!(!world.is_blocked(COMMON));
}

#[test]
fn an_answered_part_is_not_blocked() {
    let mut world = World::new();
    for _ in 0..20 {
        world.crash(&[RARE], 2);
        world.answer(RARE);
    }
    assert!(!world.is_blocked(RARE));
}

#[test]
fn a_part_of_a_single_request_is_not_blocked() {
    let mut world = World::new();
    world.crash(&[RARE], 3);
    assert!(!world.is_blocked(RARE));
}

#[test]
fn servers_that_end_together_block_nothing() {
    let mut world = World::new();
    for request in 0..9 {
        let server = format!("e{request}");
        world
            .detector
            .record_crash(world.now, COMMON, request, &server);
        world.detector.try_block(world.now, COMMON);
    }
    assert!(!world.is_blocked(COMMON));
}

#[test]
fn a_rare_part_is_freed_when_another_explains_the_crashes() {
    let mut world = World::new();
    world.crash(&[RARE, POISON], 2);
    world.crash(&[OTHER, POISON], 2);
    assert!(world.is_blocked(POISON));
    assert!(!world.is_blocked(RARE));
    world.crash(&[RARE, OTHER], 1);
    assert!(!world.is_blocked(RARE));
}

#[test]
fn a_blocked_part_explains_later_crashes() {
    let mut world = World::new();
    world.crash(&[POISON], 2);
    world.crash(&[POISON], 2);
    for request in 10..20 {
        world.now += Duration::from_secs(1);
        let server = format!("late-{request}");
        let detector = &mut world.detector;
        detector.record_crash(world.now, RARE, request, &server);
        detector.record_crash(world.now, POISON, request + 100, &server);
        assert_eq!(detector.try_block(world.now, RARE), None);
    }
}

#[test]
fn one_probe_follows_a_block_and_an_answer_ends_it() {
    let mut world = World::new();
    world.crash(&[POISON], 2);
    world.crash(&[POISON], 2);
    world.now += Settings::default().min_block;
    let elsewhere = world.detector.admit(world.now, [POISON], |_| false);
    assert!(matches!(elsewhere, Admission::Blocked(_)));
    assert_eq!(world.admit(POISON), Admission::Probe);
    assert!(world.is_blocked(POISON), "one at a time");
    assert!(world.answer(POISON));
    assert_eq!(world.admit(POISON), Admission::Open);
}

#[test]
fn a_block_that_nobody_probes_is_forgotten() {
    let mut world = World::new();
    world.crash(&[POISON], 2);
    world.crash(&[POISON], 2);
    let settings = Settings::default();
    world.now += settings.min_block + settings.retention / 2;
    world.detector.sweep(world.now);
    let elsewhere = world.detector.admit(world.now, [POISON], |_| false);
    assert!(matches!(elsewhere, Admission::Blocked(_)));
    world.now += settings.retention;
    world.detector.sweep(world.now);
    let elsewhere = world.detector.admit(world.now, [POISON], |_| false);
    assert_eq!(elsewhere, Admission::Open);
}

#[test]
fn a_probe_that_crashes_doubles_the_block() {
    let mut world = World::new();
    world.crash(&[POISON], 2);
    world.crash(&[POISON], 2);
    let block = Settings::default().min_block;
    world.now += block;
    assert_eq!(world.admit(POISON), Admission::Probe);
    world.crash(&[POISON], 1);
    world.now += block;
    assert!(world.is_blocked(POISON));
    world.now += block;
    assert_eq!(world.admit(POISON), Admission::Probe);
}

#[test]
fn a_late_notice_of_a_crash_counts_once() {
    let mut world = World::new();
    assert!(world.detector.record_crash(world.now, RARE, 1, "e1"));
    world.answer(RARE);
    assert!(!world.detector.record_crash(world.now, RARE, 1, "e1"));
    assert!(!world.answer(RARE), "it has no crash that counts");
}

#[test]
fn a_late_notice_of_a_block_does_not_undo_an_answer() {
    let mut world = World::new();
    let block = block(&[RARE]);
    assert!(world.detector.record_block(world.now, &block).is_some());
    assert!(world.detector.record_block(world.now, &block).is_none());
    assert!(world.answer(RARE));
    assert!(world.detector.record_block(world.now, &block).is_none());
    assert!(!world.is_blocked(RARE));
}

#[test]
fn memory_is_bounded() {
    let mut world = World::new();
    world.crash(&[POISON], 2);
    world.crash(&[POISON], 2);
    let capacity = Settings::default().capacity as u64;
    for part in 10..10 + 3 * capacity {
        world.detector.record_crash(world.now, part, part, "e");
    }
    assert!(world.is_blocked(POISON), "blocks go last");
    for server in 0..1000 {
        let server = format!("s{server}");
        world.detector.record_crash(world.now, RARE, 1, &server);
    }
    assert!(!world.detector.record_crash(world.now, RARE, 1, "one more"));
    world.now += Settings::default().retention;
    world.answer(POISON);
    world.now += Settings::default().retention;
    world.detector.sweep(world.now);
    assert!(world.detector.is_empty());
}

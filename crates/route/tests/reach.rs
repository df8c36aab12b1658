//! Judgement of a node's direct path to backend servers, played without a network.

use route::reach::{Change, Failure, Path, Reach};
use std::time::{Duration, Instant};

/// Step of the played time: one request, as at 10 requests a second.
const STEP: Duration = Duration::from_millis(100);
/// Steps for which a connect hangs before it counts as failed.
const HANG_STEPS: usize = 4;
/// Played steps.
const STEPS: usize = 100;

/// A played node. Its requests go to the backend servers in turn, and so do its probes, from the other
/// end of the list.
struct Node {
    reach: Reach,
    changes: Vec<(usize, Change)>,
    probes: usize,
}

/// Plays requests to `servers` backend servers. `fails` tells how a connect to a backend server fails that
/// starts in a step, if it fails.
fn play(servers: usize, is_idle: bool, fails: impl Fn(usize, usize) -> Option<Failure>) -> Node {
    let started = Instant::now();
    let mut node = Node {
        reach: Reach::default(),
        changes: Vec::new(),
        probes: 0,
    };
    // End, backend server, whether it is a probe, and the failure.
    let mut open: Vec<(usize, usize, bool, Option<Failure>)> = Vec::new();
    for step in 0..STEPS {
        let now = started + STEP * step as u32;
        let mut connect = |server: usize, is_probe: bool| {
            let failure = fails(step, server);
            let hangs = failure == Some(Failure::Silent);
            open.push((
                step + if hangs { HANG_STEPS } else { 0 },
                server,
                is_probe,
                failure,
            ));
        };
        if !is_idle {
            connect(step % servers, false);
        }
        if node.reach.start_probe(now) {
            node.probes += 1;
            let unfailed = (0..servers).rev();
            let mut unfailed =
                unfailed.filter(|server| !node.reach.has_failed(&server.to_string()));
            connect(unfailed.next().unwrap_or(step % servers), true);
        }
        for (_, server, is_probe, failure) in open.extract_if(.., |(end, ..)| *end <= step) {
            let id = server.to_string();
            let change = match failure {
                None if is_probe => node.reach.record_success(now),
                None => node.reach.record_connect(now),
                Some(failure) if is_probe => {
                    node.reach.record_failed_probe(now, &id, failure, servers)
                }
                Some(failure) => node.reach.record_failure(now, &id, failure, servers),
            };
            node.changes.extend(change.map(|change| (step, change)));
        }
    }
    node
}

/// Steps in which the path was lost.
fn losses(node: &Node) -> Vec<usize> {
    let lost = node.changes.iter();
    let lost = lost.filter(|(_, change)| matches!(change, Change::Lost(_)));
    lost.map(|(step, _)| *step).collect()
}

/// Failures that leave the path sound: a failure here sends requests on a detour in vain.
macro_rules! sound {
    ($($name:ident: $servers:expr, $fails:expr;)*) => {$(
        #[test]
        fn $name() {
            let node = play($servers, false, $fails);
            assert_eq!(node.changes, []);
        }
    )*};
}

sound! {
    a_sound_path_stays_sound: 20, |_, _| None;
    a_crashed_server_is_no_lost_path: 20, |_, server| (server == 3).then_some(Failure::Refused);
    a_crashed_service_is_no_lost_path: 20, |_, server| (server < 8).then_some(Failure::Refused);
    a_zone_that_hangs_is_no_lost_path: 20, |_, server| (server < 10).then_some(Failure::Silent);
    one_of_two_servers_is_no_lost_path: 2, |_, server| (server == 0).then_some(Failure::Refused);
}

/// Cuts from the 20th to the 60th step: a failure here leaves a cut node without a detour for too long, or
/// on it for ever.
macro_rules! cut {
    ($($name:ident: $servers:expr, $failure:expr;)*) => {$(
        #[test]
        fn $name() {
            let is_cut = |step| (20..60).contains(&step);
            let node = play($servers, false, |step, _| is_cut(step).then_some($failure));
            let [(lost, Change::Lost(Some(_))), (restored, Change::Restored)] = node.changes[..] else {
                panic!("{:?}", node.changes);
            };
            assert!(lost < 20 + 10, "lost {lost}");
            assert!((60..60 + 11).contains(&restored), "restored {restored}");
            assert!(node.probes <= 10, "{} probes in 5 s", node.probes);
            assert_eq!(node.reach.path(), Path::Sound);
        }
    )*};
}

cut! {
    a_path_that_hangs_is_lost_within_a_second: 20, Failure::Silent;
    a_path_that_refuses_is_lost_within_a_second: 20, Failure::Refused;
    a_path_that_resets_is_lost_within_a_second: 20, Failure::Broken;
    a_path_to_two_servers_is_lost_within_a_second: 2, Failure::Silent;
    a_path_to_one_server_is_lost_within_a_second: 1, Failure::Silent;
}

/// An idle node has no evidence, and probing without need would cost backend servers connections.
#[test]
fn an_idle_node_sends_no_probes() {
    let node = play(20, true, |_, _| Some(Failure::Silent));
    assert_eq!(node.probes, 0);
    assert_eq!(node.reach.path(), Path::Sound);
}

/// A path that lets single connects through must not change its state each time.
#[test]
fn a_flapping_path_stays_lost() {
    let fails =
        |step: usize, _| (step >= 20 && !step.is_multiple_of(9)).then_some(Failure::Refused);
    let node = play(20, true, fails);
    assert_eq!(node.changes, [], "idle");
    let node = play(20, false, fails);
    assert_eq!(losses(&node).len(), 1, "{:?}", node.changes);
}

/// Open connections are given up only where packets vanish; those that live on are kept.
#[test]
fn only_a_path_that_hangs_is_silent() {
    for (failure, silent) in [(Failure::Silent, true), (Failure::Refused, false)] {
        let node = play(20, false, |_, _| Some(failure));
        assert_eq!(node.reach.path(), Path::Lost);
        assert_eq!(node.reach.is_silent(), silent);
    }
}

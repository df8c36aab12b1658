//! Tests of relays in simulated fleets without sockets: lost links, nodes that stop, freeze and return,
//! and partitions of availability zones.

mod world;

use route::relay::{Presence, Relays, Role, Scope, Settings};
use std::time::{Duration, Instant};
use world::{Build, World};

/// Time in which all nodes of a fleet that has just started know each other.
const START: Duration = Duration::from_secs(3);
/// Time in which the other nodes detect a change.
const DETECTION: Duration = Duration::from_secs(3);

/// Fleets without failures: name of the case, nodes, availability zones, maximum links per node.
macro_rules! healthy {
    ($($case:ident: $nodes:literal nodes, $zones:literal zones, $links:literal links;)*) => {
        $(#[test]
        fn $case() {
            let mut world = World::new($nodes, $zones);
            world.advance(START);
            for index in 0..$nodes {
                assert_eq!(world.live_peers(index), $nodes - 1, "of node {index}");
                assert_eq!(world.total_load(index), $nodes as f64, "of node {index}");
                assert!(world.links(index) <= $links, "{} of node {index}", world.links(index));
            }
        })*
    };
}

healthy! {
    a_small_fleet_is_a_mesh: 9 nodes, 4 zones, 8 links;
    a_medium_fleet_has_relays: 83 nodes, 4 zones, 30 links;
    a_large_fleet_has_relays: 195 nodes, 6 zones, 45 links;
    a_fleet_of_1100_has_relays: 1100 nodes, 11 zones, 125 links;
}

#[test]
fn the_end_of_a_relay_hides_no_other_node() {
    let mut world = World::new(195, 6);
    world.advance(START);
    let relay = world.relays_of(0)[0];
    world.stop(relay);
    for _ in 0..12 {
        world.advance(DETECTION / 12);
        for index in (0..195).filter(|index| *index != relay) {
            assert!(world.live_peers(index) >= 193, "of node {index}");
        }
    }
    for index in (0..195).filter(|index| *index != relay) {
        assert_eq!(world.live_peers(index), 193, "of node {index}");
        assert_eq!(world.total_load(index), 194.0, "of node {index}");
    }
}

#[test]
fn both_relays_of_a_zone_that_freeze_are_replaced() {
    let mut world = World::new(195, 6);
    world.advance(START);
    let relays = world.relays_of(0);
    for relay in &relays {
        world.freeze(*relay);
    }
    world.advance(DETECTION);
    for index in (0..195).filter(|index| !relays.contains(index)) {
        assert_eq!(world.live_peers(index), 192, "of node {index}");
    }
    for relay in &relays {
        world.thaw(*relay);
    }
    world.advance(DETECTION * 2);
    for index in 0..195 {
        assert_eq!(world.live_peers(index), 194, "of node {index}");
        assert_eq!(world.total_load(index), 195.0, "of node {index}");
    }
}

#[test]
fn a_lost_zone_is_detected() {
    let mut world = World::new(195, 6);
    world.advance(START);
    let zone = world.zone(2);
    for index in &zone {
        world.freeze(*index);
    }
    world.advance(DETECTION);
    for index in (0..195).filter(|index| !zone.contains(index)) {
        assert_eq!(world.live_peers(index), 194 - zone.len(), "of node {index}");
    }
}

#[test]
fn two_partitioned_zones_stay_known_to_a_third() {
    let mut world = World::new(195, 6);
    world.advance(START);
    world.partition(0, 1);
    world.advance(DETECTION);
    for index in (0..195).filter(|index| index % 6 > 1) {
        assert_eq!(world.live_peers(index), 194, "of node {index}");
    }
    let (zone, other) = (world.zone(0), world.zone(1));
    assert_eq!(world.live_peers(zone[5]), 194 - other.len());
    world.heal(0, 1);
    world.advance(DETECTION);
    for index in 0..195 {
        assert_eq!(world.live_peers(index), 194, "of node {index}");
    }
}

#[test]
fn a_fleet_recovers_when_half_of_it_restarts() {
    let mut world = World::new(195, 6);
    world.advance(START);
    let stopped: Vec<_> = (0..195).filter(|index| index % 2 == 0).collect();
    for index in &stopped {
        world.stop(*index);
    }
    world.advance(DETECTION);
    for index in (0..195).filter(|index| index % 2 == 1) {
        assert_eq!(
            world.live_peers(index),
            194 - stopped.len(),
            "of node {index}"
        );
    }
    for index in &stopped {
        world.restart(*index);
    }
    world.advance(DETECTION * 2);
    for index in 0..195 {
        assert_eq!(world.live_peers(index), 194, "of node {index}");
        assert_eq!(world.total_load(index), 195.0, "of node {index}");
    }
}

/// Builds of the nodes of a fleet of one zone, and the nodes that must know at the end how many are left.
struct Fleet {
    /// Nodes of the earlier build; all others are of the current one.
    earlier: Vec<usize>,
    judged: Vec<usize>,
}

/// One of the two relays of a fleet of 20 nodes restarts several times, and a substitute is a relay meanwhile;
/// later a node that is no relay ends for good. `fleet` gets the index of the substitute.
fn a_node_ends_after_a_relay_stepped_down(fleet: impl Fn(usize) -> Fleet) {
    let mut world = World::new(20, 1);
    world.advance(START);
    let before = world.relays_of(0);
    world.stop(0);
    world.advance(DETECTION);
    let relays = world.relays_of(0);
    let substitute = relays.into_iter().find(|index| !before.contains(index));
    let substitute = substitute.expect("a relay in place of the one that stopped");
    let fleet = fleet(substitute);
    world.set_build(fleet.earlier, Build::Earlier);
    for _ in 0..3 {
        world.restart(0);
        world.advance(DETECTION);
        world.stop(0);
        world.advance(DETECTION);
    }
    world.restart(0);
    world.advance(DETECTION);
    assert!(!world.relays_of(0).contains(&substitute));
    let ended = (1..20).find(|index| !before.contains(index) && *index != substitute);
    let ended = ended.expect("a node that is no relay");
    world.stop(ended);
    world.advance(DETECTION);
    for index in fleet.judged.into_iter().filter(|index| *index != ended) {
        assert_eq!(world.live_peers(index), 18, "of node {index}");
    }
}

/// Guards against counting the last list of a node that is no relay any more: the directory named nodes that
/// had ended.
#[test]
fn a_relay_that_stepped_down_keeps_no_ended_node_alive() {
    a_node_ends_after_a_relay_stepped_down(|_| Fleet {
        earlier: Vec::new(),
        judged: (0..20).collect(),
    });
}

/// Guards against the same in an upgrade: nodes of the earlier build send no empty list.
#[test]
fn a_relay_of_the_earlier_build_that_stepped_down_keeps_no_ended_node_alive() {
    a_node_ends_after_a_relay_stepped_down(|substitute| Fleet {
        earlier: vec![substitute],
        judged: (0..20).filter(|index| *index != substitute).collect(),
    });
}

/// Guards against the same in an upgrade: nodes of the earlier build count the last list of each link.
#[test]
fn a_relay_that_stepped_down_clears_its_list_at_nodes_of_the_earlier_build() {
    a_node_ends_after_a_relay_stepped_down(|substitute| Fleet {
        earlier: (0..20).filter(|index| *index != substitute).collect(),
        judged: (0..20).collect(),
    });
}

/// Guards against the same in a small fleet whose nodes are replaced: the rows of those that ended stay, so
/// that it has relays.
#[test]
fn a_small_fleet_of_replaced_nodes_keeps_no_ended_node_alive() {
    let mut world = World::new(24, 1);
    // Of these, seven are left.
    (7..24).for_each(|index| world.stop(index));
    world.advance(START);
    let before = world.relays_of(0);
    assert!(before.len() < 7, "relays {before:?}");
    for _ in 0..2 {
        world.stop(before[0]);
        world.advance(DETECTION);
        world.restart(before[0]);
        world.advance(DETECTION);
    }
    let ended = (0..7).find(|index| !world.relays_of(0).contains(index));
    let ended = ended.expect("a node that is no relay");
    world.stop(ended);
    world.advance(DETECTION);
    for index in (0..7).filter(|index| *index != ended) {
        assert_eq!(world.live_peers(index), 5, "of node {index}");
    }
}

/// Guards against a list that is neither sent nor counted: nodes of earlier builds send an unchanged list
/// only once over a link, also if they are no relays in between.
#[test]
fn a_list_counts_again_when_its_sender_is_a_relay_again() {
    let now = Instant::now();
    let (peer, listed) = ("n-1".to_owned(), "n-2");
    let presence = Presence {
        tag: Presence::tag(listed),
        ready: true,
        follows_store: false,
        reaches_servers: true,
        names_era: true,
    };
    let mut relays = Relays::new(Settings::default());
    relays.add_link(now, "n-0", &peer, true);
    relays.set_presences(&peer, vec![presence]);
    for (scope, counts) in [
        (Scope::Group, true),
        (Scope::Own, false),
        (Scope::Group, true),
    ] {
        let role = Role {
            scope,
            ..Role::default()
        };
        relays.record_heartbeat(now, &peer, role);
        let expected: &[Presence] = if counts { &[presence] } else { &[] };
        assert_eq!(relays.presences(&peer), expected, "{scope:?}");
        assert_eq!(relays.is_reachable(now, listed), counts, "{scope:?}");
        let advertised = relays.advertised(now, Scope::Fleet);
        assert_eq!(advertised.contains(&presence.tag), counts, "{scope:?}");
    }
}

/// Guards against nodes that are missing while relays of two builds come and go.
#[test]
fn no_node_is_missing_while_a_relay_of_either_build_restarts() {
    for earlier in [vec![], (0..195).step_by(2).collect(), (0..195).collect()] {
        let mut world = World::new(195, 6);
        world.set_build(earlier, Build::Earlier);
        world.advance(START);
        let relay = world.relays_of(0)[0];
        for _ in 0..3 {
            world.stop(relay);
            world.advance(DETECTION);
            for index in (0..195).filter(|index| *index != relay) {
                assert_eq!(world.live_peers(index), 193, "of node {index}");
            }
            world.restart(relay);
            world.advance(DETECTION);
            for index in 0..195 {
                assert_eq!(world.live_peers(index), 194, "of node {index}");
            }
        }
    }
}

//! Tests of relays in simulated fleets without sockets: lost links, nodes that stop, freeze and return,
//! and partitions of availability zones.

mod world;

use std::time::Duration;
use world::World;

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

//! Relays of fleets of many nodes, without sockets: links that are cut, nodes that end, freeze and
//! return, availability zones that part.

mod world;

use std::time::Duration;
use world::World;

/// Time in which a fleet that has just started finds itself.
const START: Duration = Duration::from_secs(3);
/// Time in which the others notice what happens to nodes.
const NOTICE: Duration = Duration::from_secs(3);

/// Fleets in calm: name of the case, nodes, availability zones, most links of a node.
macro_rules! calm {
    ($($case:ident: $nodes:literal nodes, $zones:literal zones, $links:literal links;)*) => {
        $(#[test]
        fn $case() {
            let mut world = World::new($nodes, $zones);
            world.pass(START);
            for index in 0..$nodes {
                assert_eq!(world.known(index), $nodes - 1, "of node {index}");
                assert_eq!(world.work(index), $nodes as f64, "of node {index}");
                assert!(world.links(index) <= $links, "{} of node {index}", world.links(index));
            }
        })*
    };
}

calm! {
    a_small_fleet_is_a_mesh: 9 nodes, 4 zones, 8 links;
    a_medium_fleet_has_relays: 83 nodes, 4 zones, 30 links;
    a_large_fleet_has_relays: 195 nodes, 6 zones, 45 links;
    a_fleet_of_1100_has_relays: 1100 nodes, 11 zones, 125 links;
}

#[test]
fn the_end_of_a_relay_hides_no_other_node() {
    let mut world = World::new(195, 6);
    world.pass(START);
    let relay = world.relays_of(0)[0];
    world.end(relay);
    for _ in 0..12 {
        world.pass(NOTICE / 12);
        for index in (0..195).filter(|index| *index != relay) {
            assert!(world.known(index) >= 193, "of node {index}");
        }
    }
    for index in (0..195).filter(|index| *index != relay) {
        assert_eq!(world.known(index), 193, "of node {index}");
        assert_eq!(world.work(index), 194.0, "of node {index}");
    }
}

#[test]
fn both_relays_of_a_zone_that_freeze_are_replaced() {
    let mut world = World::new(195, 6);
    world.pass(START);
    let relays = world.relays_of(0);
    for relay in &relays {
        world.freeze(*relay);
    }
    world.pass(NOTICE);
    for index in (0..195).filter(|index| !relays.contains(index)) {
        assert_eq!(world.known(index), 192, "of node {index}");
    }
    for relay in &relays {
        world.thaw(*relay);
    }
    world.pass(NOTICE * 2);
    for index in 0..195 {
        assert_eq!(world.known(index), 194, "of node {index}");
        assert_eq!(world.work(index), 195.0, "of node {index}");
    }
}

#[test]
fn a_lost_zone_is_detected() {
    let mut world = World::new(195, 6);
    world.pass(START);
    let zone = world.zone(2);
    for index in &zone {
        world.freeze(*index);
    }
    world.pass(NOTICE);
    for index in (0..195).filter(|index| !zone.contains(index)) {
        assert_eq!(world.known(index), 194 - zone.len(), "of node {index}");
    }
}

#[test]
fn two_partitioned_zones_stay_known_to_a_third() {
    let mut world = World::new(195, 6);
    world.pass(START);
    world.part(0, 1);
    world.pass(NOTICE);
    for index in (0..195).filter(|index| index % 6 > 1) {
        assert_eq!(world.known(index), 194, "of node {index}");
    }
    let (zone, other) = (world.zone(0), world.zone(1));
    assert_eq!(world.known(zone[5]), 194 - other.len());
    world.join(0, 1);
    world.pass(NOTICE);
    for index in 0..195 {
        assert_eq!(world.known(index), 194, "of node {index}");
    }
}

#[test]
fn a_fleet_recovers_when_half_of_it_restarts() {
    let mut world = World::new(195, 6);
    world.pass(START);
    let ended: Vec<_> = (0..195).filter(|index| index % 2 == 0).collect();
    for index in &ended {
        world.end(*index);
    }
    world.pass(NOTICE);
    for index in (0..195).filter(|index| index % 2 == 1) {
        assert_eq!(world.known(index), 194 - ended.len(), "of node {index}");
    }
    for index in &ended {
        world.start(*index);
    }
    world.pass(NOTICE * 2);
    for index in 0..195 {
        assert_eq!(world.known(index), 194, "of node {index}");
        assert_eq!(world.work(index), 195.0, "of node {index}");
    }
}

//! Replays of the counterexamples found by specs/config.pml, on three nodes.

use crate::world::{HORIZON, Node, Step, World};

/// Runs for three times the horizon with all frames delivered. Nodes that reach the platform read
/// the head.
fn run_past_horizon(world: &mut World) {
    let until = world.now + HORIZON * 3;
    while world.now < until {
        (0..world.nodes.len()).for_each(|index| world.poll(index));
        world.exchange();
    }
}

fn may_start(world: &World) -> Vec<bool> {
    let node_may_start = |node: &Node| node.view.may_start(world.now).is_ok();
    world.nodes.iter().map(node_may_start).collect()
}

/// Three joined nodes, of which only the first one reaches the platform.
fn world_with_one_reader() -> World {
    let mut world = World::new(3);
    world.nodes[1].reaches_platform = false;
    world.nodes[2].reaches_platform = false;
    world
}

/// Mutation NO_ACK_MAJORITY: a node that is partitioned from the others writes a withdrawal, while
/// the others continue without it. The withdrawal must not be accepted.
#[test]
fn a_written_revision_isn_t_accepted_without_a_majority() {
    let mut world = world_with_one_reader();
    world.split(0b001);
    let before = world.nodes[0].view.accepted();
    world.withdraw(0, false);
    run_past_horizon(&mut world);
    assert_eq!(may_start(&world)[1..], [true, true]);
    assert_eq!(world.nodes[0].view.accepted(), before);
    world.check().unwrap();
}

/// Mutation RESTART_COUNTS: the second node misses a withdrawal that the other two accept. The third
/// then restarts without state. The second and third together must not start work.
#[test]
fn a_restarted_node_does_not_count_toward_a_majority() {
    let mut world = world_with_one_reader();
    world.split(0b010);
    world.withdraw(0, false);
    run_past_horizon(&mut world);
    assert_eq!(
        world.nodes[0].view.accepted(),
        world.nodes[0].view.revision()
    );
    world.step(&Step::Heal);
    world.split(0b001);
    world.restart(2);
    run_past_horizon(&mut world);
    assert_eq!(may_start(&world)[1..], [false, false]);
    world.check().unwrap();
}

/// Mutation LAPSE_SHRINKS: one node sees the leases of the other two expire, removes them and
/// withdraws a version. The other two continue, so the withdrawal must not be accepted.
#[test]
fn a_minority_can_t_remove_the_majority() {
    let mut world = world_with_one_reader();
    world.split(0b001);
    let before = world.nodes[0].view.accepted();
    world.remove(0, 2);
    world.remove(0, 1);
    world.withdraw(0, false);
    run_past_horizon(&mut world);
    assert_eq!(may_start(&world)[1..], [true, true]);
    assert_eq!(world.nodes[0].view.accepted(), before);
    world.check().unwrap();
}

//! The counterexamples of specs/config.pml, replayed on three nodes.

use crate::world::{HORIZON, Node, Step, World};

/// Runs for longer than the horizon with everything delivered; nodes that can, read the head.
fn outlast(world: &mut World) {
    let until = world.now + HORIZON * 3;
    while world.now < until {
        (0..world.nodes.len()).for_each(|index| world.poll(index));
        world.exchange();
    }
}

fn serving(world: &World) -> Vec<bool> {
    let may_start = |node: &Node| node.view.may_start(world.now).is_ok();
    world.nodes.iter().map(may_start).collect()
}

/// Three joined nodes, of which only the first one reaches the platform.
fn outage() -> World {
    let mut world = World::new(3);
    world.nodes[1].reaches_platform = false;
    world.nodes[2].reaches_platform = false;
    world
}

/// Mutation NO_ACK_MAJORITY: a withdrawal is written by a node that is cut off from the others,
/// which go on without it. It must not count as accepted.
#[test]
fn a_written_revision_isn_t_accepted_without_a_majority() {
    let mut world = outage();
    world.split(0b001);
    let before = world.nodes[0].view.accepted();
    world.withdraw(0, false);
    outlast(&mut world);
    assert_eq!(serving(&world)[1..], [true, true]);
    assert_eq!(world.nodes[0].view.accepted(), before);
    world.check().unwrap();
}

/// Mutation RESTART_COUNTS: the second node misses a withdrawal that the other two accept. The
/// third restarts with nothing; the two of them together must not start work.
#[test]
fn a_restarted_node_does_not_count_toward_a_majority() {
    let mut world = outage();
    world.split(0b010);
    world.withdraw(0, false);
    outlast(&mut world);
    assert_eq!(
        world.nodes[0].view.accepted(),
        world.nodes[0].view.revision()
    );
    world.step(&Step::Heal);
    world.split(0b001);
    world.restart(2);
    outlast(&mut world);
    assert_eq!(serving(&world)[1..], [false, false]);
    world.check().unwrap();
}

/// Mutation LAPSE_SHRINKS: one node sees the leases of the other two lapse and removes them, then
/// withdraws a version. The two go on, so that the withdrawal must not count as accepted.
#[test]
fn a_minority_can_t_remove_the_majority() {
    let mut world = outage();
    world.split(0b001);
    let before = world.nodes[0].view.accepted();
    world.remove(0, 2);
    world.remove(0, 1);
    world.withdraw(0, false);
    outlast(&mut world);
    assert_eq!(serving(&world)[1..], [true, true]);
    assert_eq!(world.nodes[0].view.accepted(), before);
    world.check().unwrap();
}

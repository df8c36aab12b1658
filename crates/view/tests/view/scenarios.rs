//! Scenarios of outages, partitions, restarts and head readers.

use crate::world::{HORIZON, Node, World};

/// Runs for three times the horizon with all frames delivered.
fn run_past_horizon(world: &mut World) {
    let until = world.now + HORIZON * 3;
    while world.now < until {
        world.exchange();
    }
}

fn may_start(world: &World) -> Vec<bool> {
    let node_may_start = |node: &Node| node.view.may_start(world.now).is_ok();
    world.nodes.iter().map(node_may_start).collect()
}

/// Cuts all nodes off from the platform.
fn disconnect_platform(world: &mut World) {
    for node in &mut world.nodes {
        node.reaches_platform = false;
    }
}

/// Each case runs five joined nodes, then checks which of them may start work.
macro_rules! cases {
    ($($name:ident: |$world:ident| $run:block => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut $world = World::new(5);
            $run
            assert_eq!(may_start(&$world), $expected);
            $world.check().unwrap();
        }
    )*};
}

cases! {
    all_serve_through_a_long_outage: |world| {
        disconnect_platform(&mut world);
        run_past_horizon(&mut world);
    } => [true; 5];

    only_the_majority_side_serves_in_an_outage: |world| {
        disconnect_platform(&mut world);
        world.split(0b00011);
        run_past_horizon(&mut world);
    } => [false, false, true, true, true];

    one_reader_keeps_all_nodes_fresh: |world| {
        disconnect_platform(&mut world);
        world.nodes[0].reaches_platform = true;
        for _ in 0..10 {
            world.poll(0);
            world.exchange();
        }
    } => [true; 5];

    minority_side_stops_once_the_other_accepts_a_withdrawal: |world| {
        world.split(0b00011);
        world.withdraw(4, false);
        run_past_horizon(&mut world);
        world.poll(4);
        world.exchange();
    } => [false, false, true, true, true];

    restarted_node_syncs_from_peers_in_an_outage: |world| {
        disconnect_platform(&mut world);
        world.restart(1);
        run_past_horizon(&mut world);
        assert_eq!(world.nodes[1].view.revision(), 5);
    } => [true; 5];

    restarted_node_that_reaches_a_minority_serves_nothing: |world| {
        disconnect_platform(&mut world);
        world.split(0b00011);
        world.restart(1);
        run_past_horizon(&mut world);
    } => [false, false, true, true, true];

    paused_node_is_stale_when_it_wakes: |world| {
        disconnect_platform(&mut world);
        world.nodes[2].paused = true;
        run_past_horizon(&mut world);
        world.nodes[2].paused = false;
    } => [true, true, false, true, true];

    all_restart_at_once_and_join_again: |world| {
        (0..5).for_each(|index| world.restart(index));
        for index in 0..5 {
            world.join(index, false);
            world.exchange();
        }
        assert!(world.nodes.iter().all(|node| node.view.joined()));
    } => [true; 5];
}

#[test]
fn unresponsive_reader_is_replaced() {
    let mut world = World::new(5);
    let readers = |world: &World| -> Vec<usize> {
        let reads = |index: &usize| world.nodes[*index].view.is_reader(world.now);
        (0..5).filter(reads).collect()
    };
    (0..5).for_each(|index| world.poll(index));
    let first = readers(&world);
    assert_eq!(first.len(), 1);
    world.nodes[first[0]].paused = true;
    // The first exchange still delivers what the reader sent before it paused.
    world.exchange();
    world.exchange();
    (0..5).for_each(|index| world.poll(index));
    let successors: Vec<_> = readers(&world)
        .into_iter()
        .filter(|one| *one != first[0])
        .collect();
    assert_eq!(successors.len(), 1);
}

#[test]
fn removal_of_an_unresponsive_member_needs_the_previous_majority() {
    let mut world = World::new(5);
    world.split(0b00011);
    world.remove(0, 4);
    let written = world.log.len();
    world.remove(0, 3);
    assert_eq!(
        world.log.len(),
        written,
        "no change may follow an unaccepted membership change"
    );
}

#[test]
fn overlay_of_1100_is_connected_with_few_links() {
    let member = |index: usize| contract::Member {
        node: format!("n{index}"),
        zone: "a".into(),
        incarnation: 1,
        http: String::new(),
        link: String::new(),
        leaving: false,
    };
    let members: Vec<_> = (0..1100).map(member).collect();
    let mut links = vec![Vec::new(); members.len()];
    for (index, one) in members.iter().enumerate() {
        for other in view::neighbours(&one.node, members.iter(), 8) {
            let other: usize = other.node[1..].parse().unwrap();
            links[index].push(other);
            links[other].push(index);
        }
    }
    let (mut reached, mut frontier, mut hops) = (vec![0], vec![0], 0);
    while reached.len() < members.len() {
        frontier = frontier
            .iter()
            .flat_map(|at: &usize| links[*at].clone())
            .collect();
        frontier.retain(|at| !reached.contains(at));
        frontier.sort_unstable();
        frontier.dedup();
        assert!(!frontier.is_empty(), "the overlay is connected");
        reached.extend(&frontier);
        hops += 1;
    }
    assert!(hops <= 7, "{hops} hops");
    let max_links = links.iter().map(Vec::len).max().unwrap();
    assert!(max_links <= 20, "{max_links} links");
}

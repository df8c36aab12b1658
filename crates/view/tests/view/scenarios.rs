//! Outages, joins and readers, one case each.

use crate::world::{HORIZON, Node, World};

/// Runs for longer than the horizon with everything delivered.
fn outlast(world: &mut World) {
    let until = world.now + HORIZON * 3;
    while world.now < until {
        world.exchange();
    }
}

fn serving(world: &World) -> Vec<bool> {
    let may_start = |node: &Node| node.view.may_start(world.now).is_ok();
    world.nodes.iter().map(may_start).collect()
}

fn outage(world: &mut World) {
    for node in &mut world.nodes {
        node.reaches_platform = false;
    }
}

/// Each case drives five joined nodes, then says which of them may start work.
macro_rules! cases {
    ($($name:ident: |$world:ident| $run:block => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut $world = World::new(5);
            $run
            assert_eq!(serving(&$world), $expected);
            $world.check().unwrap();
        }
    )*};
}

cases! {
    all_serve_through_a_long_outage: |world| {
        outage(&mut world);
        outlast(&mut world);
    } => [true; 5];

    only_the_majority_side_serves_in_an_outage: |world| {
        outage(&mut world);
        world.split(0b00011);
        outlast(&mut world);
    } => [false, false, true, true, true];

    one_reader_keeps_all_nodes_fresh: |world| {
        outage(&mut world);
        world.nodes[0].reaches_platform = true;
        for _ in 0..10 {
            world.poll(0);
            world.exchange();
        }
    } => [true; 5];

    minority_side_stops_once_the_other_accepts_a_withdrawal: |world| {
        world.split(0b00011);
        world.withdraw(4, false);
        outlast(&mut world);
        world.poll(4);
        world.exchange();
    } => [false, false, true, true, true];

    restarted_node_syncs_from_peers_in_an_outage: |world| {
        outage(&mut world);
        world.restart(1);
        outlast(&mut world);
        assert_eq!(world.nodes[1].view.revision(), 5);
    } => [true; 5];

    restarted_node_that_reaches_a_minority_serves_nothing: |world| {
        outage(&mut world);
        world.split(0b00011);
        world.restart(1);
        outlast(&mut world);
    } => [false, false, true, true, true];

    paused_node_is_stale_when_it_wakes: |world| {
        outage(&mut world);
        world.nodes[2].paused = true;
        outlast(&mut world);
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
    let next: Vec<_> = readers(&world)
        .into_iter()
        .filter(|one| *one != first[0])
        .collect();
    assert_eq!(next.len(), 1);
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
        "nothing follows an unaccepted change of members"
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
    let (mut reached, mut edge, mut hops) = (vec![0], vec![0], 0);
    while reached.len() < members.len() {
        edge = edge
            .iter()
            .flat_map(|at: &usize| links[*at].clone())
            .collect();
        edge.retain(|at| !reached.contains(at));
        edge.sort_unstable();
        edge.dedup();
        assert!(!edge.is_empty(), "the overlay is connected");
        reached.extend(&edge);
        hops += 1;
    }
    assert!(hops <= 7, "{hops} hops");
    let most = links.iter().map(Vec::len).max().unwrap();
    assert!(most <= 20, "{most} links");
}

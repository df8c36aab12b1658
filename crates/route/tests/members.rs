//! Tests of liveness and of the lookup of nodes by callers.

use route::member::{Lookup, Member, Members};
use route::relay::Presence;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

fn member(node: &str) -> Member {
    Member {
        node: node.to_owned(),
        zone: "a".to_owned(),
        http_address: "127.0.0.1:1".parse().unwrap(),
        link_address: "127.0.0.1:2".parse().unwrap(),
        capacity: 250,
    }
}

/// State of a node that follows the store and reaches backend servers.
fn presence(node: &str, ready: bool) -> Presence {
    Presence {
        tag: Presence::tag(node),
        ready,
        follows_store: true,
        reaches_servers: true,
        names_era: true,
    }
}

#[test]
fn a_member_without_heartbeats_is_not_listed() {
    let mut members = Members::default();
    let now = Instant::now();
    assert!(members.add(member("n")), "new member");
    assert!(!members.add(member("n")), "known member");
    assert!(members.ready(now).next().is_none(), "no heartbeat yet");
    members.record_heartbeat(now, "n", presence("n", true));
    assert_eq!(members.ready(now).count(), 1);
    let later = now + Duration::from_millis(1300);
    assert!(members.ready(later).next().is_none());
    assert!(members.store_followers(later, false).next().is_none());
    assert_eq!(members.take_expired(later), ["n"]);
    assert!(members.take_expired(later).is_empty(), "reported once");
}

#[test]
fn a_member_that_is_not_ready_is_not_listed() {
    let mut members = Members::default();
    let now = Instant::now();
    members.add(member("n"));
    members.record_heartbeat(now, "n", presence("n", false));
    assert!(members.ready(now).next().is_none());
    assert_eq!(members.alive(now).count(), 1);
}

/// A tunnel through a node that is cut from the backend servers as well would fail.
#[test]
fn a_member_without_a_path_to_servers_gets_no_tunnels() {
    let mut members = Members::default();
    let now = Instant::now();
    members.add(member("n"));
    let sound = presence("n", true);
    let cut = Presence {
        reaches_servers: false,
        ..sound
    };
    for (state, reaching) in [(sound, 1), (cut, 0), (presence("n", false), 0), (sound, 1)] {
        assert!(members.record_heartbeat(now, "n", state), "a change");
        assert_eq!(members.reaching(now).count(), reaching);
    }
    assert_eq!(members.ready(now).count(), 1, "it still accepts requests");
}

#[test]
fn a_members_own_heartbeat_takes_precedence_over_reports() {
    let mut members = Members::default();
    let now = Instant::now();
    members.add(member("n"));
    let old = [Presence {
        follows_store: false,
        ..presence("n", false)
    }];
    assert!(members.record_heartbeat(now, "n", presence("n", true)));
    assert!(
        !members.merge_presences(now, "other", &old),
        "the report may be older"
    );
    assert_eq!(members.ready(now).count(), 1);
    assert!(
        !members.record_heartbeat(now, "n", presence("n", true)),
        "the state is the same"
    );
    members.mark_lost("n");
    assert!(
        members.merge_presences(now, "other", &old),
        "it is alive again by the report of another node"
    );
    assert_eq!(members.alive(now).count(), 1);
}

/// Maximum number of addresses in one result.
const LIMIT: usize = 64;
/// Availability zones of the fleet.
const ZONES: usize = 6;
/// Nodes of one zone.
const ZONE_NODES: usize = 33;

/// Creates a fleet in which three nodes of each zone have four times the capacity of the others.
fn fleet() -> Vec<Member> {
    let node = |index: usize| Member {
        node: format!("n-{index}"),
        zone: format!("z-{}", index % ZONES),
        http_address: format!("10.0.{}.{}:80", index / 200, index % 200)
            .parse()
            .unwrap(),
        capacity: if index < 3 * ZONES { 500 } else { 120 },
        ..member("n")
    };
    (0..ZONES * ZONE_NODES).map(node).collect()
}

/// Returns the share of requests that each node gets, by address. Each caller chooses uniformly among
/// the addresses in its result.
fn shares(fleet: &[Member]) -> BTreeMap<std::net::SocketAddrV4, f64> {
    let mut shares = BTreeMap::new();
    let callers = 600;
    for caller in 0..callers {
        let zone = format!("z-{}", caller % ZONES);
        let lookup = Lookup {
            zone: Some(&zone),
            seed: contract::stable_hash([caller.to_string().as_str()]),
            limit: LIMIT,
        };
        let addresses = lookup.resolve(fleet);
        assert_eq!(addresses.len(), LIMIT);
        for address in &addresses {
            *shares.entry(*address).or_default() += 1.0 / (callers * addresses.len()) as f64;
        }
    }
    shares
}

#[test]
fn a_large_fleet_is_sampled_by_capacity() {
    let fleet = fleet();
    let shares = shares(&fleet);
    assert_eq!(shares.len(), fleet.len(), "each node is in some result");
    let mean = |capacity: u32| {
        let nodes = fleet.iter().filter(|member| member.capacity == capacity);
        let shares: Vec<_> = nodes.map(|member| shares[&member.http_address]).collect();
        shares.iter().sum::<f64>() / shares.len() as f64
    };
    assert!(mean(500) > 1.8 * mean(120), "{} {}", mean(500), mean(120));
    let most = shares
        .values()
        .fold(0.0, |most: f64, share| most.max(*share));
    assert!(most < 3.5 / fleet.len() as f64, "{most}");
}

#[test]
fn a_lookup_returns_nodes_of_the_own_zone_and_of_others() {
    let fleet = fleet();
    let lookup = Lookup {
        zone: Some("z-1"),
        seed: 7,
        limit: LIMIT,
    };
    let addresses = lookup.resolve(&fleet);
    let own = fleet.iter().filter(|member| member.zone == "z-1");
    let own = own
        .filter(|member| addresses.contains(&member.http_address))
        .count();
    let even = LIMIT / ZONES;
    assert!(own > even, "{own}");
    assert!(
        own < LIMIT / 2,
        "{own}: most addresses survive the loss of one zone"
    );
    assert_eq!(
        addresses,
        lookup.resolve(&fleet),
        "equal lookups give equal results"
    );
}

/// Guards against relying on a follower whose changes don't arrive: a node of an earlier version reports which
/// nodes follow the store, but passes on no changes with an era.
#[test]
fn a_follower_behind_a_node_without_eras_is_not_relied_on() {
    let now = Instant::now();
    let follower = presence("n", true);
    for (relay_names_era, follower_names_era) in [(true, true), (true, false), (false, true)] {
        let mut members = Members::default();
        members.add(member("n"));
        members.add(member("relay"));
        let relay = Presence {
            follows_store: false,
            names_era: relay_names_era,
            ..presence("relay", true)
        };
        members.record_heartbeat(now, "relay", relay);
        let reported = Presence {
            names_era: follower_names_era,
            ..follower
        };
        members.merge_presences(now, "relay", &[reported]);
        let expected = usize::from(relay_names_era && follower_names_era);
        assert_eq!(members.store_followers(now, true).count(), expected);
        assert_eq!(members.store_followers(now, false).count(), 1);
    }
}

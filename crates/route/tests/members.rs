//! Who lives, and whom callers are sent to.

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

#[test]
fn a_member_without_heartbeats_is_not_listed() {
    let mut members = Members::default();
    let now = Instant::now();
    assert!(members.add(member("n")), "news");
    assert!(!members.add(member("n")), "known");
    assert!(members.ready(now).next().is_none(), "never heard of");
    members.record_heartbeat(now, "n", true, true);
    assert_eq!(members.ready(now).count(), 1);
    let later = now + Duration::from_millis(1300);
    assert!(members.ready(later).next().is_none());
    assert!(members.store_followers(later).next().is_none());
    assert_eq!(members.take_expired(later), ["n"]);
    assert!(members.take_expired(later).is_empty(), "told once");
}

#[test]
fn a_member_that_is_not_ready_is_not_listed() {
    let mut members = Members::default();
    let now = Instant::now();
    members.add(member("n"));
    members.record_heartbeat(now, "n", false, true);
    assert!(members.ready(now).next().is_none());
    assert_eq!(members.alive(now).count(), 1);
}

#[test]
fn a_members_own_heartbeat_takes_precedence_over_reports() {
    let mut members = Members::default();
    let now = Instant::now();
    members.add(member("n"));
    let old = [Presence {
        tag: Presence::tag("n"),
        ready: false,
        follows_store: false,
    }];
    assert!(members.record_heartbeat(now, "n", true, true));
    assert!(!members.merge_presences(now, &old), "no news: it is older");
    assert_eq!(members.ready(now).count(), 1);
    assert!(
        !members.record_heartbeat(now, "n", true, true),
        "nothing has changed"
    );
    members.mark_lost("n");
    assert!(members.merge_presences(now, &old), "others hear it still");
    assert_eq!(members.alive(now).count(), 1);
}

/// Most addresses in one answer.
const MOST: usize = 64;
/// Availability zones of the fleet.
const ZONES: usize = 6;
/// Nodes of one zone.
const ZONE_NODES: usize = 33;

/// A fleet in which three nodes of each zone carry four times as much as the others.
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

/// How much of the requests each node gets, by its address: callers go to one of the addresses that
/// they are told, with the same chance to each.
fn shares(fleet: &[Member]) -> BTreeMap<std::net::SocketAddrV4, f64> {
    let mut shares = BTreeMap::new();
    let callers = 600;
    for caller in 0..callers {
        let zone = format!("z-{}", caller % ZONES);
        let question = Lookup {
            zone: Some(&zone),
            seed: contract::stable_hash([caller.to_string().as_str()]),
            limit: MOST,
        };
        let answer = question.resolve(fleet);
        assert_eq!(answer.len(), MOST);
        for address in &answer {
            *shares.entry(*address).or_default() += 1.0 / (callers * answer.len()) as f64;
        }
    }
    shares
}

#[test]
fn a_large_fleet_is_sampled_by_capacity() {
    let fleet = fleet();
    let shares = shares(&fleet);
    assert_eq!(shares.len(), fleet.len(), "each is named to somebody");
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
    let question = Lookup {
        zone: Some("z-1"),
        seed: 7,
        limit: MOST,
    };
    let answer = question.resolve(&fleet);
    let own = fleet.iter().filter(|member| member.zone == "z-1");
    let own = own
        .filter(|member| answer.contains(&member.http_address))
        .count();
    let even = MOST / ZONES;
    assert!(own > even, "{own}");
    assert!(
        own < MOST / 2,
        "{own}: the loss of one zone leaves most of them"
    );
    assert_eq!(
        answer,
        question.resolve(&fleet),
        "the same question, the same answer"
    );
}

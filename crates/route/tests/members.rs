//! Who lives, and whom callers are sent to.

use route::member::{Member, Members};
use std::time::{Duration, Instant};

fn member(node: &str) -> Member {
    Member {
        node: node.to_owned(),
        zone: "a".to_owned(),
        requests: "127.0.0.1:1".parse().unwrap(),
        link: "127.0.0.1:2".parse().unwrap(),
    }
}

#[test]
fn a_silent_member_is_not_named() {
    let mut members = Members::default();
    let now = Instant::now();
    assert!(members.add(member("n")), "news");
    assert!(!members.add(member("n")), "known");
    assert!(members.addresses(now).is_empty(), "never heard of");
    members.hear(now, "n", true, true);
    assert_eq!(members.addresses(now).len(), 1);
    let later = now + Duration::from_millis(1300);
    assert!(members.addresses(later).is_empty());
    assert!(members.following(later).next().is_none());
    assert_eq!(members.take_silent(later), ["n"]);
    assert!(members.take_silent(later).is_empty(), "told once");
}

#[test]
fn a_member_that_is_not_ready_is_not_named() {
    let mut members = Members::default();
    let now = Instant::now();
    members.add(member("n"));
    members.hear(now, "n", false, true);
    assert!(members.addresses(now).is_empty());
    assert_eq!(members.alive(now).count(), 1);
}

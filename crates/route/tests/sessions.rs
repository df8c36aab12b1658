//! Tests of the memory of sessions and its bounds.

use route::session::Sessions;
use std::time::{Duration, Instant};

#[test]
fn many_sessions_stay_bounded_and_keep_those_in_use() {
    let now = Instant::now();
    let mut sessions = Sessions::default();
    for index in 0..50_000 {
        sessions.record_own(now, "busy", "v1");
        sessions.record_own(now, &format!("s-{index}"), "v1");
    }
    assert!(sessions.all(now).len() < 20_000);
    assert_eq!(sessions.version(now, "busy"), Some("v1"));
    assert_eq!(sessions.version(now, "s-49999"), Some("v1"));
    assert_eq!(sessions.version(now, "s-0"), None);
}

#[test]
fn an_expired_session_is_forgotten() {
    let now = Instant::now();
    let mut sessions = Sessions::default();
    sessions.record_own(now, "s", "v1");
    let later = now + Duration::from_secs(31);
    assert_eq!(sessions.version(later, "s"), None);
    assert!(
        sessions.record_own(later, "s", "v1"),
        "the other nodes have to be told again"
    );
}

#[test]
fn a_session_that_keeps_its_version_has_not_changed() {
    let now = Instant::now();
    let mut sessions = Sessions::default();
    assert!(sessions.record_own(now, "s", "v1"));
    assert!(!sessions.record_own(now, "s", "v1"));
    assert!(sessions.record_own(now, "s", "v2"));
}

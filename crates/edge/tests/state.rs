//! What a node believes: roll-outs that follow each other.

mod fixture;

use edge::app::{State, Table};
use edge::follow::Role;
use fixture::site;
use platform::store::{Page, Row};
use route::member::Member;
use route::pool::{Query, Stage, Work};
use route::rollout::Status;
use std::time::{Duration, Instant};

fn put(state: &mut State, table: Table, key: &str, position: u64, value: &str) {
    state.update(Instant::now(), table, change(key, position, Some(value)));
}

/// A change of one row; without a value the row was removed.
fn change(key: &str, position: u64, value: Option<&str>) -> Page {
    let row = Row {
        key: key.to_owned(),
        value: value.map(|value| value.as_bytes().to_vec()),
        position,
        removed: value.is_none(),
    };
    Page {
        rows: vec![row],
        position,
        ..Page::default()
    }
}

/// A service with a backend server of each version.
fn list(state: &mut State, versions: &[&str]) {
    for (index, version) in versions.iter().enumerate() {
        let entry = format!(
            r#"{{"service":"s","address":"127.0.0.1:{index}","zone":"a","version":"{version}",
            "slots":64,"state":"ready","coldRemainingMs":0,"born":1}}"#
        );
        put(state, Table::Servers, &format!("i-{version}"), 1, &entry);
    }
}

/// The operator's order of a roll-out.
fn order(state: &mut State, position: u64, to: &str) {
    let order = format!(r#"{{"service":"s","to":"{to}","rolloutS":16}}"#);
    put(state, Table::Intents, "rollout/s", position, &order);
}

/// The outcome of the roll-out after some answers of both versions, of which some are bad. A third
/// of the old version's are silent for too long.
fn judge(old: (u32, u32), new: (u32, u32)) -> Status {
    let mut state = State::new(&site());
    list(&mut state, &["v1", "v2"]);
    order(&mut state, 2, "v2");
    for (server, (answers, bad)) in [("i-v1", old), ("i-v2", new)] {
        let listing = state.pool.servers()[server].listing.clone();
        for index in 0..answers {
            state.record_answer(&listing, index < bad);
            state.record_time(Instant::now(), &listing, "m", Stage::EventInterval, 40.0);
        }
        for _ in 0..answers / 2 * u32::from(server == "i-v1") {
            state.record_silence(&listing);
        }
    }
    let trial = state.trials.get_mut("s").unwrap();
    trial.evaluate(Instant::now() + Duration::from_secs(16))
}

#[test]
fn failures_of_one_kind_of_request_show_beside_an_old_version_under_load() {
    assert_eq!(judge((323, 3), (75, 6)), Status::RolledBack);
}

#[test]
fn a_version_that_fails_as_rarely_as_the_old_one_takes_over() {
    assert_eq!(judge((323, 3), (75, 1)), Status::Completed);
}

#[test]
fn a_version_that_was_rolled_back_gets_nothing_in_the_next_roll_out() {
    let mut state = State::new(&site());
    list(&mut state, &["v1", "v2", "v3"]);
    order(&mut state, 2, "v2");
    let status = r#"{"state":"rolled_back","to":"v2"}"#;
    put(&mut state, Table::Status, "rollout/s", 3, status);
    order(&mut state, 4, "v3");
    let work = Work::default();
    let query = Query {
        service: "s",
        model: None,
        model_hash: 0,
        work: &work,
        zone: "a",
        tried: &[],
        draw: 0,
    };
    for session in 0..50 {
        let name = format!("s-{session}");
        let chosen = state
            .pick(Instant::now(), &query, "r", Some(&name))
            .unwrap();
        assert_ne!(chosen.version, "v2");
        let load = chosen.id.clone();
        state.pool.start_request(Instant::now(), &load, &query);
    }
}

/// Nodes of a fleet.
const FLEET: usize = 68;

fn name(index: usize) -> String {
    format!("n-{index}")
}

/// One node of the fleet, that hears all others; whether they hear the store.
fn node(now: Instant, index: usize, followed: bool) -> State {
    let mut site = site();
    site.node = name(index);
    let mut state = State::new(&site);
    for table in Table::ALL {
        state.replace(now, table, Page::default());
    }
    for node in (0..FLEET).filter(|other| *other != index).map(name) {
        let address = "127.0.0.1:1".parse().unwrap();
        state.members.add(Member {
            node: node.clone(),
            zone: "a".to_owned(),
            http_address: address,
            link_address: address,
            capacity: 250,
        });
        state.members.record_heartbeat(now, &node, true, followed);
    }
    state
}

/// How one node of the fleet takes part in following each table; whether the others hear the store.
fn parts(index: usize, followed: bool) -> [Role; 4] {
    let now = Instant::now();
    let state = node(now, index, followed);
    Table::ALL.map(|table| state.follow_role(now, table))
}

#[test]
fn few_nodes_follow_the_store_for_the_others() {
    let all: Vec<_> = (0..FLEET).map(|index| parts(index, true)).collect();
    let follows = |parts: &[Role; 4], table: Table| parts[table as usize] == Role::Follower;
    let following = |table: Table| all.iter().filter(|parts| follows(parts, table)).count();
    assert_eq!(Table::ALL.map(following), [6, 4, 4, 4]);
    let nested = |parts| follows(parts, Table::Intents) || !follows(parts, Table::Servers);
    assert!(
        all.iter().all(nested),
        "one word on following speaks for all tables"
    );
}

/// Calls a second of all nodes that stand in for followers which don't hear the store, at the most.
const MOST_CALLS: f64 = 30.0;

#[test]
fn a_lost_store_is_asked_by_all_but_seldom() {
    let mut calls = 0.0;
    for index in 0..FLEET {
        for part in parts(index, false) {
            match part {
                Role::Follower => (),
                Role::Fallback(pause) => calls += 1.0 / pause.as_secs_f64(),
                Role::Learner => panic!("nobody is left to learn from"),
            }
        }
    }
    assert!(calls > 0.0 && calls < MOST_CALLS, "{calls}");
}

#[test]
fn a_node_that_stands_in_goes_on_until_a_better_one_hears_the_store() {
    let now = Instant::now();
    let follows = |index: &usize| parts(*index, true)[Table::Servers as usize] == Role::Follower;
    let follower = (0..FLEET).find(follows).unwrap();
    let learner = (0..FLEET).find(|index| !follows(index)).unwrap();
    let mut state = node(now, learner, false);
    state.become_fallback();
    assert_eq!(state.follow_role(now, Table::Servers), Role::Follower);
    state
        .members
        .record_heartbeat(now, &name(follower), true, true);
    assert_eq!(state.follow_role(now, Table::Servers), Role::Learner);
    state
        .members
        .record_heartbeat(now, &name(follower), true, false);
    assert_eq!(state.follow_role(now, Table::Servers), Role::Follower);
    state.record_store_failure(now);
    assert_ne!(state.follow_role(now, Table::Servers), Role::Follower);
}

#[test]
fn a_first_start_reads_no_empty_table() {
    let mut site = site();
    site.first_start = true;
    let mut state = State::new(&site);
    assert_eq!(state.mirror(Table::Intents).position(), Some(0));
    assert!(!state.ready());
    list(&mut state, &["v1"]);
    assert!(!state.ready(), "there is no configuration yet");
}

#[test]
fn sessions_are_told_only_while_a_roll_out_runs() {
    let now = Instant::now();
    let mut state = State::new(&site());
    list(&mut state, &["v1", "v2"]);
    let old = state.pool.servers()["i-v1"].listing.clone();
    assert!(
        !state.record_send(now, &old, Some("s-1")),
        "no node needs it yet"
    );
    assert!(state.sessions_for_peer(now, true).is_empty());
    order(&mut state, 2, "v2");
    assert_eq!(state.take_sessions_to_announce(now).len(), 1);
    assert!(
        state.take_sessions_to_announce(now).is_empty(),
        "it is told once"
    );
    assert!(state.record_send(now, &old, Some("s-2")));
    assert_eq!(state.sessions_for_peer(now, true).len(), 2);
    let status = r#"{"state":"rolled_back","to":"v2"}"#;
    put(&mut state, Table::Status, "rollout/s", 3, status);
    assert!(state.sessions_for_peer(now, true).is_empty());
}

#[test]
fn an_entry_removed_after_an_outage_is_kept_no_longer_than_from_its_end() {
    let lost = Instant::now();
    let millis = Duration::from_millis;
    let mut state = State::new(&site());
    list(&mut state, &["v1"]);
    state.record_store_failure(lost);
    let back = lost + millis(100);
    state.record_store_answer(back);
    let removed = back + millis(1200);
    state.update(removed, Table::Servers, change("i-v1", 2, None));
    state.sweep(back + millis(1900));
    assert!(
        state.pool.servers().contains_key("i-v1"),
        "it may come back"
    );
    state.sweep(back + millis(2000));
    assert!(!state.pool.servers().contains_key("i-v1"));
}

#[test]
fn an_entry_removed_long_after_an_outage_is_gone_at_once() {
    let lost = Instant::now();
    let mut state = State::new(&site());
    list(&mut state, &["v1"]);
    state.record_store_failure(lost);
    state.record_store_answer(lost);
    let removed = lost + Duration::from_millis(2000);
    state.update(removed, Table::Servers, change("i-v1", 2, None));
    assert!(!state.pool.servers().contains_key("i-v1"));
}

#[test]
fn callers_come_back_when_the_store_may_be_there_again() {
    let lost = Instant::now();
    let millis = Duration::from_millis;
    let mut state = State::new(&site());
    assert!(
        state.retry_after(lost) < millis(1000),
        "the tables are being read"
    );
    state.record_store_failure(lost);
    assert_eq!(state.retry_after(lost), millis(2000));
    state.record_store_failure(lost + millis(3000));
    assert_eq!(state.retry_after(lost + millis(5000)), millis(5000));
    state.record_store_answer(lost + millis(6000));
    assert!(state.retry_after(lost + millis(6000)) < millis(1000));
}

#[test]
fn a_node_takes_no_part_of_what_all_share_until_it_knows_them() {
    let now = Instant::now();
    let mut site = site();
    site.bounds.retry_ratio = 0.0;
    let mut state = State::new(&site);
    let config = r#"{"version": 1, "routes": [], "services": [{"name": "s", "maxConnections": 9,
        "coldStartS": 0, "coldPerS": 0}], "limits": {"maxHeaderBytes": 1, "maxBodyBytes": 1,
        "headerTimeoutMs": 1, "idleTimeoutMs": 1}}"#;
    put(&mut state, Table::Intents, "config", 1, config);
    assert!(state.configured());
    assert!(!state.take_retry(now, "s"), "many others may do the same");
    state.replace(now, Table::Members, Page::default());
    assert!(state.take_retry(now, "s"), "there are no others");
}

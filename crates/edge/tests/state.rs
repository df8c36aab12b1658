//! The state of a node: roll-outs, followers of the store, outages of the store, sessions.

mod fixture;

use edge::app::{State, Table};
use edge::follow::Role;
use fixture::site;
use limits::retry::Purpose;
use platform::store::{Page, Row};
use route::member::Member;
use route::pool::{Query, Stage, Work};
use route::relay::Presence;
use route::rollout::Status;
use std::time::{Duration, Instant};

fn put(state: &mut State, table: Table, key: &str, position: u64, value: &str) {
    state.update(Instant::now(), table, change(key, position, Some(value)));
}

/// A change of one row; without a value the row is removed.
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

fn query(work: &Work) -> Query<'_> {
    Query {
        service: "s",
        model: None,
        model_hash: 0,
        work,
        zone: "a",
        tried: &[],
        draw: 0,
    }
}

/// An entry of a backend server.
fn entry(port: u64, slots: u64, cold_ms: &str) -> String {
    format!(
        r#"{{"service":"s","address":"127.0.0.1:{port}","zone":"a","version":"v1",
        "slots":{slots},"state":"ready","coldRemainingMs":{cold_ms},"born":1}}"#
    )
}

/// State of a ready node that reaches backend servers.
fn presence(node: &str, follows_store: bool) -> Presence {
    Presence {
        tag: Presence::tag(node),
        ready: true,
        follows_store,
        reaches_servers: true,
    }
}

/// Lists a backend server of each version of one service.
fn list(state: &mut State, versions: &[&str]) {
    for (index, version) in versions.iter().enumerate() {
        let entry = entry(index as u64 + 1, 64, "0").replace("v1", version);
        put(state, Table::Servers, &format!("i-{version}"), 1, &entry);
    }
}

/// Applies a roll-out order of the operator.
fn order(state: &mut State, position: u64, to: &str) {
    let order = format!(r#"{{"service":"s","to":"{to}","rolloutS":16}}"#);
    put(state, Table::Intents, "rollout/s", position, &order);
}

/// The status of a roll-out, given each version's number of responses and of bad ones among them.
/// A third of the old version's requests meet a backend server that is silent for too long.
fn status_after(old: (u32, u32), new: (u32, u32)) -> Status {
    let mut state = State::new(&site());
    list(&mut state, &["v1", "v2"]);
    order(&mut state, 2, "v2");
    for (server, (responses, bad)) in [("i-v1", old), ("i-v2", new)] {
        let listing = state.pool.servers()[server].listing.clone();
        for index in 0..responses {
            state.record_answer(&listing, index < bad);
            state.record_time(Instant::now(), &listing, "m", Stage::EventInterval, 40.0);
        }
        for _ in 0..responses / 2 * u32::from(server == "i-v1") {
            state.record_silence(&listing);
        }
    }
    let trial = state.trials.get_mut("s").unwrap();
    trial.evaluate(Instant::now() + Duration::from_secs(16))
}

#[test]
fn a_higher_failure_rate_rolls_a_version_back_under_load() {
    assert_eq!(status_after((323, 3), (75, 6)), Status::RolledBack);
}

#[test]
fn a_version_with_the_failure_rate_of_the_old_one_completes() {
    assert_eq!(status_after((323, 3), (75, 1)), Status::Completed);
}

#[test]
fn a_rolled_back_version_gets_no_requests_in_the_next_roll_out() {
    let mut state = State::new(&site());
    list(&mut state, &["v1", "v2", "v3"]);
    order(&mut state, 2, "v2");
    let status = r#"{"state":"rolled_back","to":"v2"}"#;
    put(&mut state, Table::Status, "rollout/s", 3, status);
    order(&mut state, 4, "v3");
    let work = Work::default();
    let query = query(&work);
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

/// Number of nodes in the fleet.
const FLEET: usize = 68;

fn name(index: usize) -> String {
    format!("n-{index}")
}

/// State of one node of the fleet, which has contact to all others; `followed` says whether these
/// reach the store.
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
        state
            .members
            .record_heartbeat(now, &node, presence(&node, followed));
    }
    state
}

/// Roles of one node of the fleet in following the tables; `followed` says whether the others reach
/// the store.
fn roles(index: usize, followed: bool) -> [Role; 4] {
    let now = Instant::now();
    let state = node(now, index, followed);
    Table::ALL.map(|table| state.follow_role(now, table))
}

#[test]
fn few_nodes_follow_the_store_for_the_others() {
    let all: Vec<_> = (0..FLEET).map(|index| roles(index, true)).collect();
    let follows = |roles: &[Role; 4], table: Table| roles[table as usize] == Role::Follower;
    let following = |table: Table| all.iter().filter(|roles| follows(roles, table)).count();
    assert_eq!(Table::ALL.map(following), [6, 4, 4, 4]);
    let nested = |roles| follows(roles, Table::Intents) || !follows(roles, Table::Servers);
    assert!(
        all.iter().all(nested),
        "followers of the servers follow the orders too: heartbeats hold one flag for all tables"
    );
}

/// Limit on the calls per second of all fallback followers while no follower reaches the store.
const MAX_CALLS: f64 = 30.0;

#[test]
fn an_unreachable_store_gets_few_calls_from_fallbacks() {
    let mut calls = 0.0;
    for index in 0..FLEET {
        for role in roles(index, false) {
            match role {
                Role::Follower => (),
                Role::Fallback(pause) => calls += 1.0 / pause.as_secs_f64(),
                Role::Learner => panic!("there is no node to learn from"),
            }
        }
    }
    assert!(calls > 0.0 && calls < MAX_CALLS, "{calls}");
}

#[test]
fn a_fallback_follows_until_a_higher_ranked_node_reaches_the_store() {
    let now = Instant::now();
    let follows = |index: &usize| roles(*index, true)[Table::Servers as usize] == Role::Follower;
    let follower = (0..FLEET).find(follows).unwrap();
    let learner = (0..FLEET).find(|index| !follows(index)).unwrap();
    let mut state = node(now, learner, false);
    state.become_fallback();
    assert_eq!(state.follow_role(now, Table::Servers), Role::Follower);
    state
        .members
        .record_heartbeat(now, &name(follower), presence(&name(follower), true));
    assert_eq!(state.follow_role(now, Table::Servers), Role::Learner);
    state
        .members
        .record_heartbeat(now, &name(follower), presence(&name(follower), false));
    assert_eq!(state.follow_role(now, Table::Servers), Role::Follower);
    state.record_store_failure(now);
    assert_ne!(state.follow_role(now, Table::Servers), Role::Follower);
}

#[test]
fn a_first_start_assumes_empty_tables() {
    let mut site = site();
    site.first_start = true;
    let mut state = State::new(&site);
    assert_eq!(state.mirror(Table::Intents).position(), Some(0));
    assert!(!state.ready());
    list(&mut state, &["v1"]);
    assert!(!state.ready(), "there is no configuration yet");
}

#[test]
fn sessions_are_announced_only_during_a_roll_out() {
    let now = Instant::now();
    let mut state = State::new(&site());
    list(&mut state, &["v1", "v2"]);
    let old = state.pool.servers()["i-v1"].listing.clone();
    assert!(
        !state.record_send(now, &old, Some("s-1")),
        "no node needs it without a roll-out"
    );
    assert!(state.sessions_for_peer(now, true).is_empty());
    order(&mut state, 2, "v2");
    assert_eq!(state.take_sessions_to_announce(now).len(), 1);
    assert!(
        state.take_sessions_to_announce(now).is_empty(),
        "each is announced once"
    );
    assert!(state.record_send(now, &old, Some("s-2")));
    assert_eq!(state.sessions_for_peer(now, true).len(), 2);
    let status = r#"{"state":"rolled_back","to":"v2"}"#;
    put(&mut state, Table::Status, "rollout/s", 3, status);
    assert!(state.sessions_for_peer(now, true).is_empty());
}

#[test]
fn an_entry_removed_after_an_outage_is_kept_for_the_grace_time_only() {
    let lost = Instant::now();
    let millis = Duration::from_millis;
    let mut state = State::new(&site());
    list(&mut state, &["v1"]);
    state.record_store_failure(lost);
    let back = lost + millis(100);
    state.record_store_answer(back, back);
    let removed = back + millis(1200);
    state.update(removed, Table::Servers, change("i-v1", 2, None));
    state.sweep(back + millis(1900));
    assert!(state.pool.servers().contains_key("i-v1"), "it may reappear");
    state.sweep(back + millis(2000));
    assert!(!state.pool.servers().contains_key("i-v1"));
}

#[test]
fn an_entry_removed_long_after_an_outage_is_removed_at_once() {
    let lost = Instant::now();
    let mut state = State::new(&site());
    list(&mut state, &["v1"]);
    state.record_store_failure(lost);
    state.record_store_answer(lost, lost);
    let removed = lost + Duration::from_millis(2000);
    state.update(removed, Table::Servers, change("i-v1", 2, None));
    assert!(!state.pool.servers().contains_key("i-v1"));
}

#[test]
fn an_entry_removed_while_a_call_waits_after_an_outage_is_removed_at_once() {
    let lost = Instant::now();
    let mut state = State::new(&site());
    list(&mut state, &["v1"]);
    state.record_store_failure(lost);
    let started = lost + Duration::from_millis(100);
    let answered = started + Duration::from_millis(2500);
    state.record_store_answer(started, answered);
    state.update(answered, Table::Servers, change("i-v1", 2, None));
    assert!(
        !state.pool.servers().contains_key("i-v1"),
        "the store was back when the call began"
    );
}

#[test]
fn retry_after_follows_the_length_of_an_outage() {
    let lost = Instant::now();
    let millis = Duration::from_millis;
    let mut state = State::new(&site());
    assert!(
        state.retry_after(lost) < millis(1000),
        "no call has failed yet"
    );
    state.record_store_failure(lost);
    assert_eq!(state.retry_after(lost), millis(2000));
    state.record_store_failure(lost + millis(3000));
    assert_eq!(state.retry_after(lost + millis(5000)), millis(5000));
    state.record_store_answer(lost + millis(6000), lost + millis(6000));
    assert!(state.retry_after(lost + millis(6000)) < millis(1000));
}

#[test]
fn a_node_has_no_share_of_a_budget_until_it_knows_the_other_nodes() {
    let now = Instant::now();
    let mut site = site();
    site.bounds.retry_ratio = 0.0;
    let mut state = State::new(&site);
    let config = r#"{"version": 1, "routes": [], "services": [{"name": "s", "maxConnections": 9,
        "coldStartS": 0, "coldPerS": 0}], "limits": {"maxHeaderBytes": 1, "maxBodyBytes": 1,
        "headerTimeoutMs": 1, "idleTimeoutMs": 1}}"#;
    put(&mut state, Table::Intents, "config", 1, config);
    assert!(state.configured());
    assert!(
        !state.take_retry(now, "s", Purpose::Recovery),
        "the number of nodes is unknown"
    );
    state.replace(now, Table::Members, Page::default());
    assert!(
        state.take_retry(now, "s", Purpose::Recovery),
        "there are no other nodes"
    );
}

/// Guards against an entry that ends the task which follows the table.
#[test]
fn an_entry_with_a_number_out_of_range_names_no_server() {
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let odd = [
        entry(80, 4, "1e22"),
        entry(80, 4, "1e400"),
        entry(0, 4, "0"),
        entry(70_000, 4, "0"),
        entry(80, u64::MAX, "0"),
        entry(80, 4, &nested),
    ];
    let mut state = State::new(&site());
    for (index, entry) in odd.iter().enumerate() {
        let position = index as u64 + 1;
        put(&mut state, Table::Servers, "i-odd", position, entry);
        assert!(state.pool.servers().is_empty(), "{:.120}", entry);
    }
    put(&mut state, Table::Servers, "i-1", 9, &entry(80, 4, "0"));
    assert!(state.pool.servers().contains_key("i-1"));
}

/// Guards against sums that overflow where a backend server names as many slots as fit.
#[test]
fn a_server_with_the_most_slots_that_fit_is_chosen() {
    let mut state = State::new(&site());
    let slots = u64::from(u32::MAX);
    put(&mut state, Table::Servers, "i-1", 1, &entry(80, slots, "0"));
    let work = Work::default();
    let query = query(&work);
    assert!(state.pick(Instant::now(), &query, "r", None).is_ok());
}

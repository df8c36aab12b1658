//! The state of a node: roll-outs, followers of the store, outages of the store, sessions.

mod fixture;

use edge::app::{State, Table};
use edge::follow::Role;
use fixture::site;
use limits::retry::Purpose;
use platform::store::{Page, Row};
use route::Position;
use route::member::Member;
use route::pool::{Query, Stage, Work};
use route::relay::Presence;
use route::rollout::Status;
use std::time::{Duration, Instant};

fn put(state: &mut State, table: Table, key: &str, position: u64, value: &str) {
    state.update(Instant::now(), table, change(key, position, Some(value)));
}

fn at(number: u64) -> Position {
    Position { era: 1, number }
}

/// A change of one row; without a value the row is removed.
fn change(key: &str, position: u64, value: Option<&str>) -> Page {
    let row = Row {
        key: key.to_owned(),
        value: value.map(|value| value.as_bytes().to_vec()),
        position: at(position),
        removed: value.is_none(),
    };
    Page {
        rows: vec![row],
        position: at(position),
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
        names_era: true,
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

/// Guards against learning changes in an upgrade from nodes whose changes name no era: they can't be compared,
/// and were missed.
#[test]
fn a_node_follows_the_store_beside_followers_that_name_no_era() {
    let now = Instant::now();
    for (names_era, era) in [(false, 0), (true, 1), (false, 1)] {
        let follows = |index: usize| {
            let mut state = node(now, index, true);
            let page = Page {
                position: Position { era, number: 5 },
                ..Page::default()
            };
            state.replace(now, Table::Servers, page);
            for other in (0..FLEET).filter(|other| *other != index).map(name) {
                let state_of_other = Presence {
                    names_era,
                    ..presence(&other, true)
                };
                state.members.record_heartbeat(now, &other, state_of_other);
            }
            let is_lead = state.is_lead_follower(now);
            let role = state.follow_role(now, Table::Servers);
            assert!(role == Role::Follower || !is_lead, "of node {index}");
            role == Role::Follower
        };
        let following = (0..FLEET).filter(|index| follows(*index)).count();
        let expected = if era > 0 && !names_era { FLEET } else { 4 };
        assert_eq!(following, expected, "names eras: {names_era}, era {era}");
    }
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
    assert_eq!(
        state.mirror(Table::Intents).position(),
        Some(Position::START)
    );
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

/// A full table of a store that was restored from a copy, with these rows.
fn restored(rows: &[(&str, u64, &str)]) -> Page {
    let position = |number| Position { era: 2, number };
    let rows = rows.iter().map(|(key, number, value)| Row {
        key: (*key).to_owned(),
        value: Some(value.as_bytes().to_vec()),
        position: position(*number),
        removed: false,
    });
    Page {
        rows: rows.collect(),
        position: position(10),
        ..Page::default()
    }
}

/// Time within which what a restored store has lost is written again.
const GRACE: Duration = Duration::from_secs(2);
/// Time within which the operator writes again what a restored store has lost.
const ORDER_GRACE: Duration = Duration::from_secs(5);

/// Guards against an evacuation that ends because the store has lost it, and against one that never
/// ends.
#[test]
fn a_lost_evacuation_stays_in_force_until_the_grace_is_over() {
    let mut state = State::new(&site());
    list(&mut state, &["v1"]);
    put(&mut state, Table::Intents, "evacuate/a", 20, "{}");
    let work = Work::default();
    let now = Instant::now();
    state.replace(now, Table::Intents, restored(&[]));
    state.sweep(now + ORDER_GRACE / 2);
    assert!(state.pick(now, &query(&work), "r", None).is_err());
    state.sweep(now + ORDER_GRACE);
    assert!(state.pick(now, &query(&work), "r", None).is_ok());
}

/// Guards against a roll-out that starts anew because the store has lost the order.
#[test]
fn a_lost_roll_out_goes_on_when_it_is_ordered_again() {
    let mut state = State::new(&site());
    list(&mut state, &["v1", "v2"]);
    order(&mut state, 20, "v2");
    let listing = state.pool.servers()["i-v2"].listing.clone();
    state.record_answer(&listing, true);
    let now = Instant::now();
    state.replace(now, Table::Intents, restored(&[]));
    let again = r#"{"service":"s","to":"v2","rolloutS":16}"#;
    state.replace(now, Table::Intents, restored(&[("rollout/s", 11, again)]));
    state.sweep(now + ORDER_GRACE);
    assert_eq!(state.trials["s"].total().new.bad, 1);
}

/// Guards against a roll-out to an earlier version that a restored store still holds.
#[test]
fn an_older_roll_out_of_a_restored_store_is_withheld() {
    let mut state = State::new(&site());
    list(&mut state, &["v1", "v2", "v3"]);
    order(&mut state, 5, "v2");
    order(&mut state, 20, "v3");
    let older = r#"{"service":"s","to":"v2","rolloutS":16}"#;
    let now = Instant::now();
    state.replace(now, Table::Intents, restored(&[("rollout/s", 5, older)]));
    state.sweep(now + ORDER_GRACE / 2);
    assert_eq!(state.trials["s"].spec.version, "v3");
}

/// Guards against entries that are dropped, or come back, because the store was restored.
#[test]
fn entries_that_a_restored_store_differs_in_are_settled_after_the_grace() {
    let mut state = State::new(&site());
    let entry = entry(1, 64, "0");
    put(&mut state, Table::Servers, "i-old", 4, &entry);
    put(&mut state, Table::Servers, "i-new", 20, &entry);
    let removal = change("i-old", 21, None);
    state.update(Instant::now(), Table::Servers, removal);
    let now = Instant::now();
    state.replace(now, Table::Servers, restored(&[("i-old", 4, &entry)]));
    let listed = |state: &State| state.pool.servers().keys().cloned().collect::<Vec<_>>();
    state.sweep(now + GRACE / 2);
    assert_eq!(listed(&state), ["i-new"]);
    state.sweep(now + GRACE);
    assert_eq!(listed(&state), ["i-old"]);
}

/// A full table of a store that was restored once more.
fn restored_again(rows: &[(&str, u64, &str)]) -> Page {
    let mut page = restored(rows);
    page.position.era += 1;
    for row in &mut page.rows {
        row.position.era += 1;
    }
    page
}

/// Guards against rows that are dropped before those who wrote them could write them into a store that
/// was restored twice.
#[test]
fn a_second_restore_begins_the_grace_anew() {
    let mut state = State::new(&site());
    list(&mut state, &["v1"]);
    let now = Instant::now();
    state.replace(now, Table::Servers, restored(&[]));
    let second = now + GRACE * 3 / 4;
    state.sweep(second);
    state.replace(second, Table::Servers, restored_again(&[]));
    state.sweep(now + GRACE);
    assert!(state.pool.servers().contains_key("i-v1"));
    state.sweep(second + GRACE);
    assert!(!state.pool.servers().contains_key("i-v1"));
}

/// Guards against a start that has left and gets requests again because its removal is lost.
#[test]
fn a_start_that_was_draining_before_its_removal_stays_unused() {
    let mut state = State::new(&site());
    let ready = entry(1, 64, "0");
    put(&mut state, Table::Servers, "i-1", 4, &ready);
    let draining = ready.replace("\"ready\"", "\"draining\"");
    put(&mut state, Table::Servers, "i-1", 20, &draining);
    let removal = change("i-1", 21, None);
    state.update(Instant::now(), Table::Servers, removal);
    let now = Instant::now();
    state.replace(now, Table::Servers, restored(&[("i-1", 4, &ready)]));
    state.sweep(now + GRACE);
    let work = Work::default();
    assert!(state.pick(now + GRACE, &query(&work), "r", None).is_err());
}

/// Guards against a bad version that gets requests again because the store has lost the order.
#[test]
fn a_version_that_was_rolled_back_gets_nothing_while_its_order_is_lost() {
    let mut state = State::new(&site());
    list(&mut state, &["v1", "v2"]);
    order(&mut state, 20, "v2");
    let status = r#"{"state":"rolled_back","to":"v2"}"#;
    put(&mut state, Table::Status, "rollout/s", 21, status);
    let now = Instant::now();
    state.replace(now, Table::Intents, restored(&[]));
    state.replace(now, Table::Status, restored(&[]));
    state.sweep(now + ORDER_GRACE);
    let work = Work::default();
    let query = query(&work);
    for session in 0..50 {
        let name = format!("s-{session}");
        let chosen = state.pick(now + ORDER_GRACE, &query, "r", Some(&name));
        let chosen = chosen.unwrap();
        assert_ne!(chosen.version, "v2");
        state
            .pool
            .start_request(now + ORDER_GRACE, &chosen.id, &query);
    }
}

/// Guards against a server that gets requests again because the restored store holds its entry from
/// before it left. A node keeps no removal of a row that was gone when it read the table.
#[test]
fn an_entry_that_was_gone_when_the_node_started_is_not_used_at_once() {
    let mut state = State::new(&site());
    let mut page = change("i-other", 5, Some(&entry(2, 64, "0")));
    page.position = at(20);
    state.replace(Instant::now(), Table::Servers, page);
    let now = Instant::now();
    let old = entry(1, 64, "0");
    state.replace(now, Table::Servers, restored(&[("i-old", 4, &old)]));
    assert!(!state.pool.servers().contains_key("i-old"));
}

/// Guards against a trial that begins anew, and gives a bad version requests again, because the operator
/// writes a lost order again after the grace.
#[test]
fn a_lost_roll_out_keeps_its_verdict_when_it_is_ordered_late() {
    let mut state = State::new(&site());
    list(&mut state, &["v1", "v2"]);
    order(&mut state, 20, "v2");
    let status = r#"{"state":"rolled_back","to":"v2"}"#;
    put(&mut state, Table::Status, "rollout/s", 21, status);
    let now = Instant::now();
    state.replace(now, Table::Intents, restored(&[]));
    state.replace(now, Table::Status, restored(&[]));
    state.sweep(now + ORDER_GRACE);
    let again = r#"{"service":"s","to":"v2","rolloutS":16}"#;
    let mut page = restored(&[("rollout/s", 11, again)]);
    page.position.number = 11;
    state.update(now + ORDER_GRACE, Table::Intents, page);
    assert_eq!(state.trials["s"].status(), Status::RolledBack);
}

/// Guards against a backend server that is taken for its earlier start, and no longer for a cold one,
/// because the restored store holds that start's entry.
#[test]
fn an_earlier_start_of_a_restored_store_takes_no_effect() {
    let mut state = State::new(&site());
    let earlier = entry(1, 64, "0");
    put(&mut state, Table::Servers, "i-1", 4, &earlier);
    let later = entry(1, 64, "5000").replace(r#""born":1"#, r#""born":2"#);
    put(&mut state, Table::Servers, "i-1", 20, &later);
    let now = Instant::now();
    state.replace(now, Table::Servers, restored(&[("i-1", 4, &earlier)]));
    state.sweep(now + GRACE);
    assert_eq!(state.pool.servers()["i-1"].listing.started_ms, 2);
}

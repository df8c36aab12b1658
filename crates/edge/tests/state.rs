//! What a node believes: roll-outs that follow each other.

use edge::app::{State, Table};
use platform::store::{Page, Row};
use route::pool::{Query, Work};
use route::site::{Bounds, Site};
use std::time::{Duration, Instant};

fn site() -> Site {
    let address = "127.0.0.1:1".parse().unwrap();
    Site {
        node: "n".to_owned(),
        ip: "127.0.0.1".parse().unwrap(),
        zone: "a".to_owned(),
        requests: address,
        ready: address,
        directory: address,
        link: address,
        seeds: Vec::new(),
        cpu_share: 1.0,
        memory: 1 << 27,
        store: address,
        heartbeat: Duration::from_secs(1),
        bounds: Bounds::default(),
    }
}

fn put(state: &mut State, table: Table, key: &str, position: u64, value: &str) {
    let row = Row {
        key: key.to_owned(),
        value: Some(value.as_bytes().to_vec()),
        position,
        removed: false,
    };
    let page = Page {
        rows: vec![row],
        position,
        ..Page::default()
    };
    state.update(Instant::now(), table, page);
}

#[test]
fn a_version_that_was_rolled_back_gets_nothing_in_the_next_roll_out() {
    let mut state = State::new(&site());
    for (index, version) in ["v1", "v2", "v3"].iter().enumerate() {
        let entry = format!(
            r#"{{"service":"s","address":"127.0.0.1:{index}","zone":"a","version":"{version}",
            "slots":64,"state":"ready","coldRemainingMs":0,"born":1}}"#
        );
        put(
            &mut state,
            Table::Servers,
            &format!("i-{version}"),
            1,
            &entry,
        );
    }
    let order = |to| format!(r#"{{"service":"s","to":"{to}","rolloutS":16}}"#);
    put(&mut state, Table::Intents, "rollout/s", 2, &order("v2"));
    let status = r#"{"state":"rolled_back","to":"v2"}"#;
    put(&mut state, Table::Status, "rollout/s", 3, status);
    put(&mut state, Table::Intents, "rollout/s", 4, &order("v3"));
    let work = Work::default();
    let query = Query {
        service: "s",
        model: None,
        model_id: 0,
        work: &work,
        zone: "a",
        tried: &[],
    };
    for session in 0..50 {
        let name = format!("s-{session}");
        let chosen = state
            .pick(Instant::now(), &query, "r", Some(&name))
            .unwrap();
        assert_ne!(chosen.version, "v2");
        let load = chosen.id.clone();
        state.pool.begin(Instant::now(), &load, &query);
    }
}

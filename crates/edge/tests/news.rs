//! Forwarding of announcements by a node.

mod fixture;

use edge::app::App;
use edge::link::{Frame, Naming, Notices, handle};
use fixture::site;
use route::pool;
use settings::log::Drops;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tokio_tungstenite::tungstenite::Message;

fn app() -> App {
    App::new(site(), Drops::default()).unwrap()
}

/// A node that knows one backend server.
fn app_with_server(now: Instant) -> App {
    let app = app();
    let entry = br#"{"service":"s","address":"127.0.0.1:80","zone":"a","version":"v1",
        "slots":4,"state":"ready","coldRemainingMs":0,"born":1}"#;
    let listing = platform::parse_listing("i-1", entry).unwrap();
    app.state().pool.upsert(now, listing);
    app
}

fn notices(version: &str) -> Frame {
    Frame::Notices(Notices {
        assignments: vec![("s-1".to_owned(), version.to_owned())],
        crashes: vec![("f-1".to_owned(), "i-1".to_owned())],
        ..Notices::default()
    })
}

#[test]
fn notices_of_prompt_parts_are_forwarded_once() {
    let app = app();
    let mut forwarded = app.announcements.subscribe();
    let peers = ["m-1".to_owned(), "m-2".to_owned()];
    let notices = [
        Notices {
            part_crashes: vec![(7, 1, "i-1@5".to_owned())],
            ..Notices::default()
        },
        Notices {
            part_blocks: vec![(7, 1)],
            ..Notices::default()
        },
        Notices {
            group_blocks: vec![(vec![8, 9], 1)],
            ..Notices::default()
        },
        Notices {
            part_answers: vec![7],
            ..Notices::default()
        },
    ];
    for notices in notices {
        let bytes = Frame::Notices(notices).encode().unwrap();
        for peer in &peers {
            handle(&app, peer, Frame::decode(&bytes).unwrap());
        }
        assert!(forwarded.try_recv().is_ok());
        assert!(forwarded.try_recv().is_err(), "it is known already");
    }
}

#[test]
fn a_known_announcement_is_not_forwarded_again() {
    let app = app();
    let mut forwarded = app.announcements.subscribe();
    let peers = ["m-1".to_owned(), "m-2".to_owned()];
    handle(&app, &peers[0], notices("v1"));
    handle(&app, &peers[1], notices("v1"));
    handle(&app, &peers[0], notices("v1"));
    let first = forwarded.try_recv().unwrap();
    assert_eq!(first.from.as_ref(), Some(&peers[0]));
    assert!(forwarded.try_recv().is_ok(), "the crash");
    assert!(forwarded.try_recv().is_err(), "both are known already");
    handle(&app, &peers[1], notices("v2"));
    assert!(
        forwarded.try_recv().is_ok(),
        "the session has another version now"
    );
}

/// Guards against a limit that begins anew with each node that passes it on.
#[test]
fn a_limit_is_forwarded_once_and_with_its_age() {
    let now = Instant::now();
    let app = app_with_server(now);
    let mut forwarded = app.announcements.subscribe();
    let age = Duration::from_secs(2);
    let naming = pool::Naming {
        server: "i-1".to_owned(),
        started_ms: 1,
        rate: Some(0.5),
        at: now.checked_sub(age).unwrap(),
    };
    for peer in ["m-1", "m-2"] {
        let notices = Notices {
            namings: vec![Naming::encode(&naming, Instant::now())],
            ..Notices::default()
        };
        let bytes = Frame::Notices(notices).encode().unwrap();
        handle(&app, &peer.to_owned(), Frame::decode(&bytes).unwrap());
    }
    assert!(forwarded.try_recv().is_ok());
    assert!(forwarded.try_recv().is_err(), "it is known already");
    let state = app.state();
    let limit = state.pool.servers()["i-1"].limit().unwrap();
    assert_eq!(limit.rate(), 0.5);
    assert!(limit.named().elapsed() >= age - Duration::from_millis(1));
}

#[test]
fn a_rate_that_is_no_limit_is_left_out() {
    let app = app_with_server(Instant::now());
    for (rate, age_ms) in [
        (f64::NAN, 0),
        (-1.0, 0),
        (f64::INFINITY, 0),
        (1.0, u64::MAX),
    ] {
        let namings = BTreeMap::from([("q", [("i-1", 1, rate, age_ms)])]);
        let news = BTreeMap::from([("News", namings)]);
        let mut bytes = Vec::new();
        ciborium::into_writer(&news, &mut bytes).unwrap();
        let frame = Frame::decode(&Message::Binary(bytes.into())).unwrap();
        handle(&app, &"m-1".to_owned(), frame);
        assert!(app.state().pool.servers()["i-1"].limit().is_none());
    }
}

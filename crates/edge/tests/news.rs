//! Forwarding of announcements by a node.

mod fixture;

use edge::app::App;
use edge::link::{Frame, Notices, handle};
use fixture::site;
use settings::log::Drops;

fn app() -> App {
    App::new(site(), Drops::default()).unwrap()
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

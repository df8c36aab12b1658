//! Announcements, as a node passes them on.

mod fixture;

use edge::app::App;
use edge::link::{Frame, Notices, handle};
use fixture::site;
use settings::log::Counts;

fn app() -> App {
    App::new(site(), Counts::default()).unwrap()
}

fn notices(version: &str) -> Frame {
    Frame::Notices(Notices {
        assignments: vec![("s-1".to_owned(), version.to_owned())],
        crashes: vec![("f-1".to_owned(), "i-1".to_owned())],
    })
}

#[test]
fn an_announcement_that_is_known_is_not_passed_on_again() {
    let app = app();
    let mut passed = app.announcements.subscribe();
    let peers = ["m-1".to_owned(), "m-2".to_owned()];
    handle(&app, &peers[0], notices("v1"));
    handle(&app, &peers[1], notices("v1"));
    handle(&app, &peers[0], notices("v1"));
    let first = passed.try_recv().unwrap();
    assert_eq!(first.from.as_ref(), Some(&peers[0]));
    assert!(passed.try_recv().is_ok(), "the crash");
    assert!(passed.try_recv().is_err(), "both came before");
    handle(&app, &peers[1], notices("v2"));
    assert!(passed.try_recv().is_ok(), "another version is news");
}

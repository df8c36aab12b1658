//! Bytes of other nodes: whatever comes, a frame is read or refused.

use edge::link::{Frame, Notices};
use proptest::prelude::*;
use tokio_tungstenite::tungstenite::Message;

/// A frame that is long enough to be compressed, and one that isn't.
fn frame(words: usize) -> Vec<u8> {
    let assignments = (0..words).map(|index| (format!("s-{index}"), "v1".to_owned()));
    let notices = Notices {
        assignments: assignments.collect(),
        ..Notices::default()
    };
    match Frame::Notices(notices).encode() {
        Some(Message::Binary(bytes)) => bytes.to_vec(),
        other => panic!("{other:?}"),
    }
}

fn words(frame: Option<Frame>) -> Option<usize> {
    match frame? {
        Frame::Notices(notices) => Some(notices.assignments.len()),
        _ => None,
    }
}

#[test]
fn frames_come_back_as_they_went() {
    for count in [0, 3, 2000] {
        let message = Message::Binary(frame(count).into());
        assert_eq!(words(Frame::decode(&message)), Some(count));
    }
}

proptest! {
    #[test]
    fn any_bytes_are_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..2000)) {
        let _ = Frame::decode(&Message::Binary(bytes.into()));
    }

    #[test]
    fn a_frame_with_a_changed_byte_is_read_or_refused(
        long in any::<bool>(),
        at in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let mut bytes = frame(if long { 2000 } else { 3 });
        let at = at.index(bytes.len());
        bytes[at] = byte;
        let _ = Frame::decode(&Message::Binary(bytes.into()));
    }

    #[test]
    fn a_frame_that_is_cut_is_refused(
        long in any::<bool>(),
        at in any::<prop::sample::Index>(),
    ) {
        let mut bytes = frame(if long { 2000 } else { 3 });
        bytes.truncate(at.index(bytes.len()));
        prop_assert!(Frame::decode(&Message::Binary(bytes.into())).is_none());
    }
}

//! Decoding of frames: any bytes from another node are decoded or rejected without a panic.

use edge::link::{Frame, Notices, decode_presence, encode_presence};
use proptest::prelude::*;
use route::member::Member;
use route::relay::Presence;
use serde_json::{Value, json};
use tokio_tungstenite::tungstenite::Message;

/// Encodes a frame with this many assignments; 2000 are enough for it to be compressed.
fn frame(count: usize) -> Vec<u8> {
    let assignments = (0..count).map(|index| (format!("s-{index}"), "v1".to_owned()));
    let notices = Notices {
        assignments: assignments.collect(),
        ..Notices::default()
    };
    encode(&Frame::Notices(notices))
}

fn encode(frame: &Frame) -> Vec<u8> {
    match frame.encode() {
        Some(Message::Binary(bytes)) => bytes.to_vec(),
        other => panic!("{other:?}"),
    }
}

fn assignments(frame: Option<Frame>) -> Option<usize> {
    match frame? {
        Frame::Notices(notices) => Some(notices.assignments.len()),
        _ => None,
    }
}

#[test]
fn frames_survive_a_round_trip() {
    for count in [0, 3, 2000] {
        let message = Message::Binary(frame(count).into());
        assert_eq!(assignments(Frame::decode(&message)), Some(count));
    }
}

fn read(bytes: &[u8]) -> ciborium::Value {
    ciborium::from_reader(bytes).unwrap()
}

/// Decodes a frame from the CBOR form of a value.
fn decode(value: &Value) -> Option<Frame> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).unwrap();
    Frame::decode(&Message::Binary(bytes.into()))
}

#[test]
fn frames_keep_their_names_on_the_wire() {
    let address = "127.0.0.1:1".parse().unwrap();
    let member = Member {
        node: "n-1".to_owned(),
        zone: "a".to_owned(),
        http_address: address,
        link_address: address,
        capacity: 250,
    };
    let hello = read(&encode(&Frame::Hello(member.into())));
    let hello = &hello.as_map().unwrap()[0];
    assert_eq!(hello.0.as_text(), Some("Hello"));
    let fields = hello.1.as_map().unwrap().iter();
    let fields: Vec<_> = fields.filter_map(|(name, _)| name.as_text()).collect();
    assert_eq!(fields, ["node", "zone", "requests", "link", "capacity"]);
    let heartbeat = decode(&json!({"Beat": {"r": true}}));
    assert!(matches!(heartbeat, Some(Frame::Heartbeat(_))));
    let notices = decode(&json!({"News": {"s": [["s-1", "v1"]]}}));
    assert_eq!(assignments(notices), Some(1));
    let rows = decode(&json!({"Rows": {"table": 0, "whole": true, "position": 1, "rows": []}}));
    assert!(matches!(rows, Some(Frame::Rows { full: true, .. })));
    let long = read(&frame(2000));
    let name = long.as_map().and_then(|map| map[0].0.as_text());
    assert_eq!(name, Some("Packed"));
}

proptest! {
    #[test]
    fn any_bytes_are_decoded_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..2000)) {
        let _ = Frame::decode(&Message::Binary(bytes.into()));
    }

    #[test]
    fn a_corrupted_frame_is_decoded_or_rejected(
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
    fn a_truncated_frame_is_rejected(
        long in any::<bool>(),
        at in any::<prop::sample::Index>(),
    ) {
        let mut bytes = frame(if long { 2000 } else { 3 });
        bytes.truncate(at.index(bytes.len()));
        prop_assert!(Frame::decode(&Message::Binary(bytes.into())).is_none());
    }
}

/// Nodes of earlier versions don't say whether they reach backend servers, and get tunnels nevertheless.
#[test]
fn a_heartbeat_says_whether_the_sender_is_cut() {
    for (heartbeat, cut) in [(json!({"r": true}), false), (json!({"u": true}), true)] {
        let frame = decode(&json!({ "Beat": heartbeat }));
        assert!(matches!(frame, Some(Frame::Heartbeat(heartbeat)) if heartbeat.is_cut == cut));
    }
}

/// Guards against flags that nodes of earlier versions set or read otherwise: these know the first two alone.
#[test]
fn presence_flags_suit_earlier_versions() {
    let ready = decode_presence((7, 3));
    assert!(ready.ready && ready.follows_store && ready.reaches_servers && ready.names_era);
    assert_eq!(encode_presence(&ready), (7, 3));
    let other = Presence {
        reaches_servers: false,
        names_era: false,
        ..ready
    };
    assert_eq!(decode_presence(encode_presence(&other)), other);
}

/// Guards against taking changes without an era for comparable ones: nodes of versions before eras tell of them
/// by their numbers alone.
#[test]
fn a_heartbeat_says_whether_it_names_eras() {
    for (heartbeat, names_era) in [
        (json!({"n": [0, 0, 0, 0]}), true),
        (json!({"n": [4, 0, 0, 9]}), false),
        (json!({"n": [4, 0, 0, 9], "e": [1, 0, 0, 1]}), true),
        (json!({"n": [4, 0, 0, 9], "e": [1, 0, 0, 0]}), false),
    ] {
        let frame = decode(&json!({ "Beat": heartbeat }));
        let Some(Frame::Heartbeat(heartbeat)) = frame else {
            panic!("{frame:?}");
        };
        assert_eq!(heartbeat.names_era(), names_era, "{heartbeat:?}");
    }
}

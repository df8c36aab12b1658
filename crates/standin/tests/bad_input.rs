//! Random and mutated bytes at every port of a node: no crash, no hang, a typed refusal.

use futures::{SinkExt, StreamExt};
use hmac::{Hmac, Mac};
use proptest::collection::vec;
use proptest::prelude::{Strategy, any};
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde_json::{Value, json};
use sha2::Sha256;
use standin::Error;
use standin::fleet::{Fleet, Node, Settings};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_tungstenite::connect_async;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::client::IntoClientRequest;
use tokio_tungstenite::tungstenite::http::HeaderValue;

const CASES: usize = 150;
const MAX_BYTES: usize = 2_048;
/// Longest wait for an answer to one input.
const ANSWER_LIMIT: Duration = Duration::from_secs(8);
/// Longest wait for the end of a connection whose sender has ended.
const READ_LIMIT: Duration = Duration::from_millis(300);

const NONCE_HEADER: &str = "x-sardinebank-nonce";
const CHAT: &str =
    r#"{"model":"tag","stream":false,"messages":[{"role":"user","content":"hello"}]}"#;
const CHANGE: &str = r#"{"change":"c1","base":1,"entries":[{"key":"zone/a","object":{"zone":{"name":"a","out":true}}}]}"#;

macro_rules! cases {
    ($($name:ident => $case:expr;)*) => {
        $(#[test]
        fn $name() -> Result<(), Error> {
            tokio::runtime::Builder::new_multi_thread()
                .worker_threads(2)
                .enable_all()
                .build()?
                .block_on(async {
                    let mut fleet = Fleet::start(settings()).await?;
                    let case: fn(Target) -> futures::future::BoxFuture<'static, Result<(), Error>> = $case;
                    case(Target::of(&fleet.nodes[0])).await?;
                    still_works(&mut fleet).await
                })
        })*
    };
}

cases! {
    random_bytes_at_the_http_port => |target| Box::pin(raw(target.http, random_bytes()));
    mutated_requests_at_the_http_port => |target| Box::pin(raw(target.http, mutated(request())));
    mutated_completions_get_typed_answers => |target| Box::pin(posts(target, "/v1/chat/completions", "north-key", CHAT));
    mutated_bookings_get_typed_answers => |target| Box::pin(posts(target, "/v1/services/reservations/bookings", "north-key", "{}"));
    mutated_changes_get_typed_answers => |target| Box::pin(posts(target, "/operator/v1/changes", "operator-key-of-tests", CHANGE));
    random_bytes_at_the_link_port => |target| Box::pin(raw(target.link, random_bytes()));
    random_frames_at_the_link_port => |target| Box::pin(frames(target, random_bytes()));
    random_frames_behind_a_valid_greeting => |target| Box::pin(greeted(target, random_bytes()));
    mutated_frames_behind_a_valid_greeting => |target| Box::pin(greeted(target, mutated(delta())));
    mutated_greetings_at_the_link_port => |target| Box::pin(frames(target, mutated(hello())));
}

/// Addresses of a node.
struct Target {
    http: SocketAddr,
    link: SocketAddr,
}

impl Target {
    fn of(node: &Node) -> Self {
        Self {
            http: node.http,
            link: node.link.address(),
        }
    }
}

fn settings() -> Settings {
    Settings {
        zones: vec![("a".to_owned(), 1)],
        ..Settings::default()
    }
}

/// The same inputs in every run.
fn inputs(strategy: impl Strategy<Value = Vec<u8>>) -> Vec<Vec<u8>> {
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(Config::default(), random);
    let drawn = (0..CASES).filter_map(|_| strategy.new_tree(&mut runner).ok());
    drawn.map(|tree| tree.current()).collect()
}

fn random_bytes() -> Vec<Vec<u8>> {
    inputs(vec(any::<u8>(), 0..MAX_BYTES))
}

/// The input with a few bytes replaced, put in, or left out.
fn mutated(valid: Vec<u8>) -> Vec<Vec<u8>> {
    let place = 0..valid.len().max(1);
    let edits = vec((place, 0..3_u8, any::<u8>()), 1..6);
    inputs(edits.prop_map(move |edits| {
        let mut bytes = valid.clone();
        for (place, kind, byte) in edits {
            let place = place.min(bytes.len().saturating_sub(1));
            match kind {
                0 if !bytes.is_empty() => bytes[place] = byte,
                1 if !bytes.is_empty() => drop(bytes.remove(place)),
                _ => bytes.insert(place, byte),
            }
        }
        bytes
    }))
}

fn request() -> Vec<u8> {
    let length = CHAT.len();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer north-key\r\n\
         Content-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
    );
    format!("{head}{CHAT}").into_bytes()
}

fn hello() -> Vec<u8> {
    cbor(&json!({ "hello": {
        "protocol": 1, "node": "x1", "incarnation": 1, "link": "127.0.0.1:1", "key": "00ff",
    } }))
}

/// Writes each input to a connection of its own and reads what comes back.
async fn raw(address: SocketAddr, inputs: Vec<Vec<u8>>) -> Result<(), Error> {
    for input in inputs {
        let mut stream = TcpStream::connect(address).await?;
        // The node may refuse before it has read everything.
        let _ = stream.write_all(&input).await;
        let _ = stream.shutdown().await;
        let mut answer = Vec::new();
        let _ = timeout(READ_LIMIT, stream.read_to_end(&mut answer)).await;
        let text = String::from_utf8_lossy(&answer);
        assert!(
            !text.starts_with("HTTP/1.1 500"),
            "input {input:?} got {text}"
        );
    }
    Ok(())
}

/// Posts mutations of a body: each is answered in time, refusals are typed.
async fn posts(target: Target, path: &str, key: &str, body: &str) -> Result<(), Error> {
    let client = reqwest::Client::builder().timeout(ANSWER_LIMIT).build()?;
    for (number, input) in mutated(body.as_bytes().to_vec()).into_iter().enumerate() {
        let response = client
            .post(format!("http://{}{path}", target.http))
            .bearer_auth(key)
            .header("content-type", "application/json")
            .header("idempotency-key", format!("bad-input-{number}"))
            .body(input.clone())
            .send()
            .await?;
        let status = response.status();
        let text = response.text().await?;
        let shown = String::from_utf8_lossy(&input);
        assert_ne!(status.as_u16(), 500, "{shown} got {text}");
        if !status.is_success() {
            let answer: Value = serde_json::from_str(&text)?;
            assert!(answer["error"]["code"].is_string(), "{shown} got {text}");
            assert!(answer["error"]["ran"].is_string(), "{shown} got {text}");
        }
    }
    Ok(())
}

/// Sends each input as a binary message on a link of its own.
async fn frames(target: Target, inputs: Vec<Vec<u8>>) -> Result<(), Error> {
    let url = format!("ws://{}/", target.link);
    for input in inputs {
        let Ok((mut socket, _)) = connect_async(&url).await else {
            continue;
        };
        let _ = socket.send(Message::binary(input)).await;
        let _ = timeout(READ_LIMIT, socket.next()).await;
    }
    Ok(())
}

/// Sends each input as a member of the fleet would, behind a greeting that proves the link key.
async fn greeted(target: Target, inputs: Vec<Vec<u8>>) -> Result<(), Error> {
    let url = format!("ws://{}/", target.link);
    for (number, input) in inputs.into_iter().enumerate() {
        let mut request = url.as_str().into_client_request().map_err(closed)?;
        request
            .headers_mut()
            .insert(NONCE_HEADER, HeaderValue::from_static("ab"));
        let (mut socket, response) = connect_async(request).await.map_err(closed)?;
        let theirs = response
            .headers()
            .get(NONCE_HEADER)
            .and_then(|value| value.to_str().ok());
        let hello = greeting(number as u64 + 1, theirs.unwrap_or_default());
        socket.send(Message::binary(hello)).await.map_err(closed)?;
        let answer = timeout(ANSWER_LIMIT, socket.next()).await;
        assert!(
            matches!(answer, Ok(Some(Ok(_)))),
            "the greeting wasn't taken: {answer:?}"
        );
        let _ = socket.send(Message::binary(input)).await;
        let _ = timeout(READ_LIMIT, socket.next()).await;
    }
    Ok(())
}

/// A greeting with a proof of the key of tests.
fn greeting(incarnation: u64, nonce: &str) -> Vec<u8> {
    let (node, link, protocol) = ("x1", "127.0.0.1:1", 1_u32);
    let mut proof = Vec::new();
    if let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(b"link-key-of-tests-1") {
        for part in [nonce, node, link] {
            mac.update(part.as_bytes());
            mac.update(&[0]);
        }
        mac.update(&incarnation.to_be_bytes());
        mac.update(&protocol.to_be_bytes());
        proof = mac.finalize().into_bytes().to_vec();
    }
    let key: String = proof.iter().map(|byte| format!("{byte:02x}")).collect();
    cbor(&json!({ "hello": {
        "protocol": protocol, "node": node, "incarnation": incarnation, "link": link, "key": key,
    } }))
}

fn delta() -> Vec<u8> {
    let body = r#"{"zone":{"name":"a","out":true}}"#;
    cbor(&json!({ "delta": {
        "revision": 2, "change": "c", "entries": [{ "key": "zone/a", "body": body }],
    } }))
}

fn cbor(value: &Value) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).unwrap_or_default();
    bytes
}

fn closed(error: tokio_tungstenite::tungstenite::Error) -> Error {
    Error::System(std::io::Error::other(error))
}

/// The process runs, wrote of no panic, and serves a caller.
async fn still_works(fleet: &mut Fleet) -> Result<(), Error> {
    let panics = fleet.panics();
    assert!(panics.is_empty(), "{panics:?}");
    if let Some(process) = &mut fleet.nodes[0].process {
        process.check()?;
    }
    let client = reqwest::Client::builder().timeout(ANSWER_LIMIT).build()?;
    let url = format!("http://{}/v1/models", fleet.nodes[0].http);
    let response = client.get(url).bearer_auth("north-key").send().await?;
    assert!(response.status().is_success());
    Ok(())
}

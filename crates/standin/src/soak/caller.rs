//! A caller that goes on asking, on connections that it keeps.

use super::{Attempt, Kind};
use rand::Rng;
use rand::rngs::SmallRng;
use reqwest::{Client, RequestBuilder};
use std::time::Duration;

/// Time that a caller gives a request.
const TIME: Duration = Duration::from_millis(2500);

/// Sends one request to a node.
pub async fn ask(client: &Client, node: &str, kind: Kind, rng: &mut SmallRng) -> Attempt {
    let id = format!("{:016x}", rng.random::<u64>());
    let mut attempt = Attempt {
        id: id.clone(),
        kind,
        status: None,
        body: None,
        part: String::new(),
        signature: String::new(),
    };
    let sent = request(client, node, kind, &id, rng).send().await;
    let Ok(mut answer) = sent else {
        return attempt;
    };
    attempt.status = Some(answer.status().as_u16());
    let signature = answer.headers().get("response-seal");
    let signature = signature.and_then(|value| value.to_str().ok());
    attempt.signature = signature.unwrap_or_default().to_owned();
    let mut bytes = Vec::new();
    let whole = loop {
        match answer.chunk().await {
            Ok(Some(chunk)) => bytes.extend_from_slice(&chunk),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    attempt.part = String::from_utf8_lossy(&bytes).into_owned();
    attempt.body = whole.then(|| attempt.part.clone());
    attempt
}

fn request(
    client: &Client,
    node: &str,
    kind: Kind,
    id: &str,
    rng: &mut SmallRng,
) -> RequestBuilder {
    let path = match kind {
        Kind::Once => "once",
        Kind::Again => "again",
        Kind::Stream => "stream",
    };
    let request = client
        .post(format!("http://{node}/{path}/a"))
        .timeout(TIME)
        .header("host", "shop.example")
        .header("request-id", id)
        .header("deadline-ms", TIME.as_millis().to_string())
        .header("key", "key-1")
        .body("a body");
    if kind != Kind::Stream {
        return request;
    }
    request
        .header("accept", "text/event-stream")
        .header("model", "*")
        .header("token-count", "100,50")
        .header("prompt-prefix", "aa:50,bb:30,cc:20")
        .header("session", format!("s-{}", rng.random_range(0..20)))
}

//! The stand-ins as their clients see them.

use futures::StreamExt;
use reqwest::{Client, StatusCode};
use serde_json::{Value, json};
use standin::engine::{Order, Settings};
use standin::journal::Recorder;
use standin::proxy::{Faults, Proxy};
use standin::serve::free_address;
use standin::{engine, fault, objects, rating, table};
use std::collections::HashSet;
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time without a byte after which a connection counts as silent.
const SILENCE: Duration = Duration::from_millis(300);

type Outcome = Result<(), Box<dyn std::error::Error>>;

macro_rules! cases {
    ($($name:ident => $case:expr;)*) => {
        $(#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() -> Outcome { $case.await })*
    };
}

cases! {
    table_conditions_hold_one_writer => table_conditions();
    table_transaction_is_all_or_nothing => table_transaction();
    table_lost_answer_took_effect => table_lost_answer();
    table_rate_limit_executes_nothing => table_rate_limit();
    object_is_created_once => object_once();
    engine_streams_a_whole_answer => engine_stream();
    engine_honours_the_token_limit => engine_tokens();
    cold_engine_falls_over_when_overrun => engine_overrun();
    engine_warms_and_turns_cold_again => engine_warms();
    engine_refuses_an_old_fence => engine_fence();
    poisoned_prompt_crashes_the_engine => engine_poison();
    rating_follows_the_quality => rating_quality();
    proxy_silences_open_connections_only => proxy_silence();
    proxy_cuts_and_refuses => proxy_refuses();
    proxy_loses_packets_of_new_connections_too => proxy_loses_packets();
    proxy_refuses_new_connections_only => proxy_refuses_new();
    proxy_resets_open_and_new_connections => proxy_resets();
    proxy_splits_without_loss => proxy_splits();
    free_addresses_are_distinct => free_addresses();
}

async fn table_call(url: &str, operation: &str, body: Value) -> reqwest::Result<(u16, Value)> {
    let response = Client::new()
        .post(url)
        .header("x-amz-target", format!("DynamoDB_20120810.{operation}"))
        .body(body.to_string())
        .send()
        .await?;
    let status = response.status().as_u16();
    Ok((status, response.json().await?))
}

fn row(pk: &str, sk: &str, rev: u64) -> Value {
    json!({ "pk": { "S": pk }, "sk": { "S": sk }, "rev": { "N": rev.to_string() } })
}

async fn table_conditions() -> Outcome {
    let server = table::Server::start(table::Settings::default()).await?;
    let create = json!({ "Item": row("config", "head", 1), "ConditionExpression": "attribute_not_exists(pk)" });
    assert_eq!(
        table_call(&server.url(), "PutItem", create.clone())
            .await?
            .0,
        200
    );
    let (status, body) = table_call(&server.url(), "PutItem", create).await?;
    assert_eq!(status, 400);
    assert!(
        body["__type"]
            .as_str()
            .unwrap_or_default()
            .ends_with("ConditionalCheckFailedException")
    );
    let put = |rev: u64, next: u64| {
        json!({ "Item": row("config", "head", next), "ConditionExpression": "rev = :rev",
            "ExpressionAttributeValues": { ":rev": { "N": rev.to_string() } } })
    };
    assert_eq!(
        table_call(&server.url(), "PutItem", put(1, 2)).await?.0,
        200
    );
    assert_eq!(
        table_call(&server.url(), "PutItem", put(1, 3)).await?.0,
        400
    );
    let key = json!({ "Key": { "pk": { "S": "config" }, "sk": { "S": "head" } } });
    let (_, found) = table_call(&server.url(), "GetItem", key).await?;
    assert_eq!(found["Item"]["rev"]["N"], "2");
    Ok(())
}

async fn table_transaction() -> Outcome {
    let server = table::Server::start(table::Settings::default()).await?;
    let put = |sk: &str| json!({ "Put": { "Item": row("p", sk, 1), "ConditionExpression": "attribute_not_exists(pk)" } });
    let both = |a: &str, b: &str| json!({ "TransactItems": [put(a), put(b)] });
    assert_eq!(
        table_call(&server.url(), "TransactWriteItems", both("1", "2"))
            .await?
            .0,
        200
    );
    let (status, body) = table_call(&server.url(), "TransactWriteItems", both("3", "2")).await?;
    assert_eq!(status, 400);
    assert_eq!(
        body["CancellationReasons"][1]["Code"],
        "ConditionalCheckFailed"
    );
    let query = json!({ "KeyConditionExpression": "pk = :pk AND sk > :after", "Limit": 1,
        "ExpressionAttributeValues": { ":pk": { "S": "p" }, ":after": { "S": "0" } } });
    let (_, page) = table_call(&server.url(), "Query", query).await?;
    assert_eq!(page["Items"][0]["sk"]["S"], "1");
    assert_eq!(page["LastEvaluatedKey"]["sk"]["S"], "1");
    assert_eq!(server.store().partition("p").len(), 2);
    Ok(())
}

async fn table_lost_answer() -> Outcome {
    let server = table::Server::start(table::Settings::default()).await?;
    let lose = json!({ "kind": "lose", "count": 1 });
    let url = server.url();
    Client::new()
        .post(format!("{url}/fault"))
        .json(&lose)
        .send()
        .await?;
    let put = json!({ "Item": row("p", "1", 1) });
    assert_eq!(table_call(&url, "PutItem", put.clone()).await?.0, 500);
    assert_eq!(server.store().partition("p").len(), 1);
    assert_eq!(table_call(&url, "PutItem", put).await?.0, 200);
    Ok(())
}

async fn table_rate_limit() -> Outcome {
    let settings = table::Settings {
        writes_per_second: Some(1),
        ..table::Settings::default()
    };
    let server = table::Server::start(settings).await?;
    let put = |sk: &str| json!({ "Item": row("p", sk, 1) });
    assert_eq!(table_call(&server.url(), "PutItem", put("1")).await?.0, 200);
    let (status, body) = table_call(&server.url(), "PutItem", put("2")).await?;
    assert_eq!(status, 400);
    let name = body["__type"].as_str().unwrap_or_default();
    assert!(name.ends_with("ProvisionedThroughputExceededException"));
    assert_eq!(server.store().partition("p").len(), 1);
    Ok(())
}

async fn object_once() -> Outcome {
    let server = objects::Server::start(objects::Settings::default()).await?;
    let url = format!("{}/sardinebank/a/b.json", server.url());
    let put = || {
        Client::new()
            .put(&url)
            .header("if-none-match", "*")
            .body("x")
            .send()
    };
    assert_eq!(put().await?.status(), StatusCode::OK);
    assert_eq!(put().await?.status(), StatusCode::PRECONDITION_FAILED);
    assert_eq!(reqwest::get(&url).await?.text().await?, "x");
    Ok(())
}

async fn start_engine(settings: Settings) -> Result<(engine::Server, Recorder), standin::Error> {
    let recorder = Recorder::default();
    let server = engine::Server::start(settings, recorder.clone()).await?;
    Ok((server, recorder))
}

fn completion(stream: bool, text: &str) -> Value {
    json!({ "model": "small@1", "stream": stream, "stream_options": { "include_usage": true },
        "messages": [{ "role": "user", "content": text }] })
}

async fn complete(url: &str, body: &Value, fence: u64) -> reqwest::Result<reqwest::Response> {
    Client::new()
        .post(format!("{url}/v1/chat/completions"))
        .header("x-request-id", "r1")
        .header("x-fencing-token", fence.to_string())
        .json(body)
        .send()
        .await
}

async fn engine_stream() -> Outcome {
    let (server, recorder) = start_engine(Settings::default()).await?;
    let response = complete(&server.url(), &completion(true, "hello"), 1).await?;
    let text = response.text().await?;
    assert!(text.ends_with("data: [DONE]\n\n"));
    let pieces = text.lines().filter_map(|line| line.strip_prefix("data: {"));
    let content: String = pieces
        .filter_map(|piece| serde_json::from_str::<Value>(&format!("{{{piece}")).ok())
        .filter_map(|piece| {
            piece["choices"][0]["delta"]["content"]
                .as_str()
                .map(str::to_owned)
        })
        .collect();
    let answer: rating::Answer = content.parse()?;
    assert_eq!(answer.prompt, rating::digest("hello"));
    assert!(text.contains("completion_tokens"));
    assert_eq!(recorder.runs()[0].request_id, "r1");
    Ok(())
}

async fn engine_tokens() -> Outcome {
    let (server, _) = start_engine(Settings::default()).await?;
    let mut body = completion(false, "hello");
    body["max_tokens"] = json!(5);
    let response = complete(&server.url(), &body, 1).await?;
    let answer: Value = response.json().await?;
    assert_eq!(answer["usage"]["completion_tokens"], 5);
    Ok(())
}

async fn engine_overrun() -> Outcome {
    let settings = Settings {
        cold: true,
        first_token: Duration::from_millis(200),
        recovery: Duration::from_millis(100),
        ..Settings::default()
    };
    let (server, _) = start_engine(settings).await?;
    let body = completion(false, "hello");
    let url = server.url();
    let (one, two) = tokio::join!(complete(&url, &body, 1), complete(&url, &body, 1));
    assert!(one.is_err() && two.is_err());
    assert_eq!(server.counters().overruns, 1);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(complete(&url, &body, 1).await?.status(), StatusCode::OK);
    Ok(())
}

async fn engine_warms() -> Outcome {
    let settings = Settings {
        cold: true,
        warm_after: 2,
        ..Settings::default()
    };
    let (server, _) = start_engine(settings).await?;
    for _ in 0..2 {
        assert!(server.is_cold());
        complete(&server.url(), &completion(false, "hello"), 1).await?;
    }
    assert!(!server.is_cold());
    server.order(Order::Cold);
    assert!(server.is_cold());
    Ok(())
}

async fn engine_fence() -> Outcome {
    let settings = Settings {
        fenced: true,
        ..Settings::default()
    };
    let (server, recorder) = start_engine(settings).await?;
    let body = completion(false, "hello");
    assert_eq!(
        complete(&server.url(), &body, 2).await?.status(),
        StatusCode::OK
    );
    let old = complete(&server.url(), &body, 1).await?.status();
    assert_eq!(old, StatusCode::PRECONDITION_FAILED);
    assert_eq!(recorder.runs().len(), 1);
    Ok(())
}

async fn engine_poison() -> Outcome {
    let (server, recorder) = start_engine(Settings::default()).await?;
    server.order(Order::Poison(Some("poison".to_owned())));
    let body = completion(true, "a poisoned prompt");
    assert!(complete(&server.url(), &body, 1).await.is_err());
    assert_eq!(server.counters().falls, 1);
    assert_eq!(recorder.runs().len(), 1);
    Ok(())
}

async fn rating_quality() -> Outcome {
    let server = rating::Server::start(rating::Settings::default()).await?;
    let answer = rating::Answer {
        served: "small@1".to_owned(),
        prompt: rating::digest("hello"),
        quality: 1.0,
        words: 3,
    };
    let score = json!({ "model": "tag", "text_1": "hello", "text_2": answer.to_string() });
    let url = format!("{}/score", server.url());
    let ask = || async {
        let response = Client::new().post(&url).json(&score).send().await?;
        let body: Value = response.json().await?;
        Ok::<_, reqwest::Error>(body["data"][0]["score"].as_f64().unwrap_or(-1.0))
    };
    assert!(ask().await? >= 0.5);
    server.set(rating::Quality {
        version: "small@1".to_owned(),
        task: None,
        quality: Some(0.0),
    });
    assert!(ask().await? < 0.5);
    Ok(())
}

/// Guards against an open connection that still carries bytes after it was silenced. The connection is
/// held here: a client's pool may open another one if the first isn't back in it yet.
async fn proxy_silence() -> Outcome {
    let server = table::Server::start(table::Settings::default()).await?;
    let proxy = Proxy::start(server.address(), Default::default()).await?;
    let request = format!("GET /stats HTTP/1.1\r\nhost: {}\r\n\r\n", proxy.address());
    let mut open = TcpStream::connect(proxy.address()).await?;
    let mut buffer = [0; 4096];
    open.write_all(request.as_bytes()).await?;
    assert!(open.read(&mut buffer).await? > 0, "it carries an answer");
    // The rest of the answer, if it came in several segments.
    while let Ok(read) = timeout(SILENCE, open.read(&mut buffer)).await {
        assert!(read? > 0, "it stays open");
    }
    proxy.silence_open();
    open.write_all(request.as_bytes()).await?;
    let silent = timeout(SILENCE, open.read(&mut buffer)).await.is_err();
    assert!(silent, "neither bytes nor the end of the connection");
    let url = format!("{}/stats", proxy.url());
    assert_eq!(
        Client::new().get(&url).send().await?.status(),
        StatusCode::OK
    );
    Ok(())
}

async fn proxy_refuses() -> Outcome {
    let (server, _) = start_engine(Settings {
        words: 500,
        ..Settings::default()
    })
    .await?;
    let proxy = Proxy::start(server.address(), Default::default()).await?;
    let response = complete(&proxy.url(), &completion(true, "hello"), 1).await?;
    let mut body = response.bytes_stream();
    assert!(body.next().await.is_some_and(|piece| piece.is_ok()));
    proxy.set(Faults::refused());
    let rest: Vec<_> = body.collect().await;
    assert!(rest.last().is_some_and(Result::is_err));
    let url = format!("{}/health", proxy.url());
    assert!(
        reqwest::get(&url)
            .await
            .is_err_and(|error| error.is_connect())
    );
    proxy.heal();
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(reqwest::get(&url).await?.status(), StatusCode::OK);
    Ok(())
}

/// Sends a request on a connection and reads the beginning of the answer.
async fn ask(open: &mut TcpStream) -> std::io::Result<usize> {
    open.write_all(b"GET /stats HTTP/1.1\r\nhost: table\r\n\r\n")
        .await?;
    open.read(&mut [0; 4096]).await
}

/// A proxy before a table, and an open connection that has carried an answer.
async fn open_connection() -> Result<(table::Server, Proxy, TcpStream), Box<dyn std::error::Error>>
{
    let server = table::Server::start(table::Settings::default()).await?;
    let proxy = Proxy::start(server.address(), Default::default()).await?;
    let mut open = TcpStream::connect(proxy.address()).await?;
    assert!(ask(&mut open).await? > 0);
    Ok((server, proxy, open))
}

/// Time within which the proxy has closed or opened its port.
const PORT_TIME: Duration = Duration::from_millis(200);

/// Guards against new connections that are accepted while all packets are to be lost.
async fn proxy_loses_packets() -> Outcome {
    let (_server, proxy, mut open) = open_connection().await?;
    proxy.set(Faults::lose_packets());
    tokio::time::sleep(PORT_TIME).await;
    for _ in 0..3 {
        let new = timeout(SILENCE, TcpStream::connect(proxy.address())).await;
        assert!(new.is_err(), "{new:?}");
    }
    assert!(timeout(SILENCE, ask(&mut open)).await.is_err());
    proxy.heal();
    tokio::time::sleep(PORT_TIME).await;
    let mut new = TcpStream::connect(proxy.address()).await?;
    assert!(ask(&mut new).await? > 0);
    assert!(
        open.read(&mut [0; 4096]).await? > 0,
        "the answer comes late"
    );
    assert_eq!(proxy.connections(), 2, "its own one doesn't count");
    Ok(())
}

/// Guards against open connections that end where only new ones are to be refused.
async fn proxy_refuses_new() -> Outcome {
    let (_server, proxy, mut open) = open_connection().await?;
    proxy.set(Faults::refused_new());
    tokio::time::sleep(PORT_TIME).await;
    let new = TcpStream::connect(proxy.address()).await;
    let refused = |error: std::io::Error| error.kind() == ErrorKind::ConnectionRefused;
    assert!(new.is_err_and(refused));
    assert!(ask(&mut open).await? > 0);
    proxy.heal();
    tokio::time::sleep(PORT_TIME).await;
    assert!(ask(&mut TcpStream::connect(proxy.address()).await?).await? > 0);
    Ok(())
}

/// Guards against resets that look like an orderly end of the connection.
async fn proxy_resets() -> Outcome {
    let (_server, proxy, mut open) = open_connection().await?;
    proxy.set(Faults::reset());
    let reset = |error: std::io::Error| error.kind() == ErrorKind::ConnectionReset;
    assert!(ask(&mut open).await.is_err_and(reset));
    let mut new = TcpStream::connect(proxy.address()).await?;
    assert!(ask(&mut new).await.is_err_and(reset));
    proxy.heal();
    assert!(ask(&mut TcpStream::connect(proxy.address()).await?).await? > 0);
    Ok(())
}

async fn proxy_splits() -> Outcome {
    let server = table::Server::start(table::Settings::default()).await?;
    let proxy = Proxy::start(server.address(), Default::default()).await?;
    let mut faults = Faults::default();
    faults.up.split = Some(3);
    faults.down.split = Some(1);
    proxy.set(faults);
    let put = json!({ "Item": row("p", "1", 1) });
    assert_eq!(
        table_call(&proxy.url(), "PutItem", put).await?,
        (200, json!({}))
    );
    let unknown = table_call(&proxy.url(), "Scan", json!({})).await?;
    assert_eq!(unknown.0, 400);
    server.faults().add(
        fault::Fault::new(fault::Kind::Down),
        std::time::Instant::now(),
    );
    assert_eq!(table_call(&proxy.url(), "GetItem", json!({})).await?.0, 503);
    Ok(())
}

/// Tests in parallel reserve addresses before their nodes bind them. Two fleets with the same address
/// ended a node at its start.
async fn free_addresses() -> Outcome {
    const COUNT: usize = 2_000;
    let mut seen = HashSet::new();
    for _ in 0..COUNT {
        assert!(seen.insert(free_address().await?));
    }
    Ok(())
}

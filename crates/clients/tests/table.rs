//! Mapping of the table service's responses to errors, and the in-memory table.

use clients::table::{Client, Condition, Item, Memory, Range, Settings, Table, Write};
use clients::{Error, table::Fault};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Starts a server for one connection that reads a request and sends these bytes. With no bytes it
/// keeps the connection open without a response.
async fn client_of_server(bytes: String) -> Client {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buffer = [0; 4096];
        let _ = stream.read(&mut buffer).await;
        let _ = stream.write_all(bytes.as_bytes()).await;
        if bytes.is_empty() {
            tokio::time::sleep(Duration::from_secs(5)).await;
        }
    });
    let timeout = Duration::from_millis(300);
    Client::new(Settings {
        url,
        timeout,
        ..Settings::default()
    })
    .unwrap()
}

fn response(status: u16, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} x\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

macro_rules! outcomes {
    ($($name:ident: $bytes:expr => $pattern:pat,)*) => {$(
        #[tokio::test]
        async fn $name() {
            let client = client_of_server($bytes).await;
            let item = Item::new("config", "head", 1, "{}");
            let result = client.put(item, Condition::Absent).await;
            assert!(matches!(result, $pattern), "{result:?}");
        }
    )*};
}

outcomes! {
    done: response(200, "{}") => Ok(()),
    condition: response(400, r#"{"__type":"com.amazonaws#ConditionalCheckFailedException"}"#)
        => Err(Error::Conflict { .. }),
    rate: response(400, r#"{"__type":"x#ProvisionedThroughputExceededException"}"#)
        => Err(Error::Throttled),
    cancelled_for_load: response(400,
        r#"{"__type":"x#TransactionCanceledException","CancellationReasons":[{"Code":"TransactionConflict"}]}"#)
        => Err(Error::Throttled),
    validation: response(400, r#"{"__type":"x#ValidationException"}"#)
        => Err(Error::Rejected { .. }),
    server_error: response(500, "{}") => Err(Error::Unknown(_)),
    no_response: String::new() => Err(Error::Unknown(_)),
    truncated_response: "HTTP/1.1 200 x\r\ncontent-length: 10\r\n\r\n{".to_owned()
        => Err(Error::Unknown(_)),
}

#[tokio::test]
async fn cancellation_names_the_failed_writes() {
    let body = r#"{"__type":"x#TransactionCanceledException","CancellationReasons":[{"Code":"None"},{"Code":"ConditionalCheckFailed"}]}"#;
    let client = client_of_server(response(400, body)).await;
    let result = client.transact(&[], "t").await;
    assert!(matches!(result, Err(Error::Conflict { failed }) if failed == [1]));
}

#[tokio::test]
async fn refused_connection_means_not_executed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    drop(listener);
    let client = Client::new(Settings {
        url,
        ..Settings::default()
    })
    .unwrap();
    let error = client.get("config", "head").await.unwrap_err();
    assert!(!error.may_have_executed() && error.is_outage());
}

#[tokio::test]
async fn memory_transactions_are_atomic() {
    let table = Memory::default();
    let put = |sort: &str, condition| Write::Put {
        item: Item::new("p", sort, 1, "{}"),
        condition,
    };
    let first = [put("a", Condition::Absent), put("b", Condition::Absent)];
    table.inject_fault(Fault::ResponseLost);
    assert!(
        table
            .transact(&first, "t1")
            .await
            .unwrap_err()
            .may_have_executed()
    );
    assert!(table.transact(&first, "t1").await.is_ok());
    let second = [put("c", Condition::Absent), put("a", Condition::Rev(7))];
    let result = table.transact(&second, "t2").await;
    assert!(matches!(result, Err(Error::Conflict { failed }) if failed == [1]));
    assert_eq!(table.list("p", &Range::All, 9).await.unwrap().len(), 2);
}

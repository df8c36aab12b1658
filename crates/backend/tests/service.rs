//! Tests of the client of plain services against services that misbehave.

use backend::{Call, Error, Pool, Ran, Reply, Service};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time limit of a call.
const LIMIT: Duration = Duration::from_secs(5);
/// Bytes of a long request.
const UPLOAD: usize = 3 << 20;

/// Starts a service that serves one connection.
async fn serve<F>(serve: impl FnOnce(TcpStream) -> F + Send + 'static) -> SocketAddr
where
    F: Future<Output = io::Result<()>> + Send,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await?;
        serve(stream).await
    });
    address
}

async fn call(address: SocketAddr, bytes: usize) -> Result<Reply, Error> {
    let call = Call {
        method: "POST".to_owned(),
        path: "/bookings".to_owned(),
        body: vec![b'x'; bytes].into(),
        ..Call::default()
    };
    let pool = Pool::default();
    let service = Service::new(&pool);
    service.call(&address.to_string(), call, LIMIT).await
}

/// Guards against an answer whose status is none that HTTP knows.
#[tokio::test]
async fn an_invalid_status_is_no_answer() {
    for status in ["101", "600", "999"] {
        let address = serve(move |mut stream: TcpStream| async move {
            let mut request = [0; 4096];
            let _ = stream.read(&mut request).await?;
            let answer = format!("HTTP/1.1 {status} Status\r\ncontent-length: 2\r\n\r\nok");
            stream.write_all(answer.as_bytes()).await
        });
        let answer = call(address.await, 2).await;
        let error = answer.expect_err(status);
        assert_eq!(error.ran(), Ran::Unknown, "{error}");
    }
}

/// Serves an answer without a length, of which the end of the connection is the only end.
async fn answer_without_length(mut stream: TcpStream, read: usize) -> io::Result<()> {
    let mut request = vec![0; 64 << 10];
    let mut count = 0;
    while count < read {
        count += match stream.read(&mut request).await? {
            0 => break,
            length => length,
        };
    }
    let answer = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\na part";
    stream.write_all(answer).await?;
    stream.shutdown().await
}

/// Guards against a part of an answer that passes for the whole since its service has ended the connection
/// before it had the whole request.
#[tokio::test]
async fn an_early_end_during_an_upload_is_no_answer() {
    let address = serve(|mut stream: TcpStream| async move {
        let mut head = [0; 64];
        let _ = stream.read(&mut head).await?;
        answer_without_length(stream, 0).await
    });
    let error = call(address.await, UPLOAD).await;
    let error = error.expect_err("it is not complete");
    assert_eq!(error.ran(), Ran::Unknown, "{error}");
}

/// Guards against a sound answer that is given up since it ends with its connection.
#[tokio::test]
async fn an_answer_without_a_length_to_a_short_request_is_complete() {
    let address = serve(|stream: TcpStream| answer_without_length(stream, 2));
    let reply = call(address.await, 2).await.expect("a complete answer");
    assert_eq!((reply.status, reply.body.as_ref()), (200, &b"a part"[..]));
}

//! Tests of the client of plain services against services that misbehave.

use backend::{Call, Error, Pool, Ran, Reply, Service};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time limit of a call.
const LIMIT: Duration = Duration::from_secs(5);

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

//! Tests of the client of model engines against engines that misbehave.

use backend::{Chat, Engine, Error, Pool, Settings};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Longest pause between two parts of a response.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(300);
/// Time within which an error is reported: the timeout and a margin for a busy machine.
const ERROR_TIME: Duration = Duration::from_secs(5);
/// Largest error body that is kept, in bytes.
const MAX_ERROR_BYTES: usize = 16 * 1024;

/// Each case is a test by its own name.
macro_rules! cases {
    ($($name:ident($pause:expr, $part:expr))*) => {$(
        #[tokio::test]
        async fn $name() {
            rejected_with_endless_body($pause, $part).await;
        }
    )*};
}

cases! {
    an_error_body_that_drips_does_not_hold_the_request(Duration::from_millis(50), 1)
    an_error_body_without_an_end_is_cut(Duration::ZERO, 4096)
}

/// Guards against a request that hangs, or fills the memory, while an error response is read.
async fn rejected_with_endless_body(pause: Duration, part: usize) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await?;
        let mut request = [0; 4096];
        let _ = stream.read(&mut request).await?;
        let head = b"HTTP/1.1 400 Bad Request\r\ntransfer-encoding: chunked\r\n\r\n";
        stream.write_all(head).await?;
        let chunk = format!("{part:x}\r\n{}\r\n", "x".repeat(part));
        loop {
            stream.write_all(chunk.as_bytes()).await?;
            sleep(pause).await;
        }
        #[allow(unreachable_code)]
        Ok::<_, std::io::Error>(())
    });
    let pool = Pool::new(Settings {
        progress_timeout: PROGRESS_TIMEOUT,
        ..Settings::default()
    });
    let chat = Chat {
        body: "{}".into(),
        request_id: "r-1".to_owned(),
        customer: "farm".to_owned(),
        fencing_token: 1,
    };
    let begun = Instant::now();
    let engine = Engine::new(&pool);
    let answer = tokio::time::timeout(ERROR_TIME, engine.chat(&address.to_string(), chat)).await;
    match answer.expect("the request ends in time") {
        Err(Error::Rejected { status: 400, body }) => assert!(body.len() <= MAX_ERROR_BYTES),
        Err(error) => panic!("{error}"),
        Ok(_) => panic!("the engine rejects it"),
    }
    assert!(begun.elapsed() < ERROR_TIME);
}

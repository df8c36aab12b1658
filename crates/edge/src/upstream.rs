//! Sends to backend servers, each on a connection of its own.
//!
//! A kept connection may have gone silent, may hold bytes of an earlier answer, or may be closed
//! while a request is on its way; then nobody knows whether the request ran. A new connection
//! has none of these states, and opening it costs a backend server about a millisecond.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::http::response::Parts;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Time to establish a connection: far above a way to any zone, below the repeat of a lost packet.
const CONNECT_TIME: Duration = Duration::from_millis(400);
/// Time without a byte after which a connection is probed, and between two probes.
const PROBE_PAUSE: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection counts as silent.
const PROBES: u32 = 2;
/// Time for which sent bytes may stay unacknowledged.
const ACKNOWLEDGE_TIME: Duration = Duration::from_secs(2);

/// Why a send brought no answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No byte of the request left: it hasn't run.
    #[error("not sent: {0}")]
    NotSent(#[source] io::Error),
    /// The request left and no answer came: it may have run.
    #[error("sent, no answer: {0}")]
    Lost(#[source] hyper::Error),
}

/// The connection of one send; it ends with the value.
#[derive(Debug)]
struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A backend server's answer. Dropping it closes the connection, which stops the work.
#[derive(Debug)]
pub struct Answer {
    /// Status and headers.
    pub head: Parts,
    /// The body as it comes.
    pub body: Incoming,
    _connection: Connection,
}

/// Sends a request and waits for the head of the answer.
pub async fn send(address: SocketAddrV4, request: Request<Full<Bytes>>) -> Result<Answer, Error> {
    let stream = connect(address).await.map_err(Error::NotSent)?;
    let (mut sender, connection) = http1::Builder::new()
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| Error::NotSent(io::Error::other(error)))?;
    let connection = Connection(tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(event = 1709; "connection to a backend server ended: {error}");
        }
    }));
    let response = sender.try_send_request(request).await;
    let response: Response<Incoming> =
        response.map_err(|mut failed| match failed.take_message() {
            Some(_) => Error::NotSent(io::Error::other(failed.into_error())),
            None => Error::Lost(failed.into_error()),
        })?;
    let (head, body) = response.into_parts();
    Ok(Answer {
        head,
        body,
        _connection: connection,
    })
}

async fn connect(address: SocketAddrV4) -> io::Result<TcpStream> {
    let stream = timeout(CONNECT_TIME, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    watch(&stream)?;
    Ok(stream)
}

/// Makes the kernel end a connection whose other end is silent.
pub fn watch(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_PAUSE)
        .with_interval(PROBE_PAUSE)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(ACKNOWLEDGE_TIME))
}

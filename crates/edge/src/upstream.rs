//! Sends requests to backend servers, each over a new connection.
//!
//! A reused connection may be dead, may hold bytes of an earlier response, or may be closed while a
//! request is being sent, which leaves it unknown whether the request ran. A new connection has
//! none of these problems, and opening it costs a backend server about a millisecond.

use crate::connect;
use crate::socket::Socket;
use crate::stream::Stream;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::body::{Body as _, Incoming};
use hyper::client::conn::http1;
use hyper::http::response::Parts;
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Timeout for opening a connection: well above the round trip to any zone, and below the
/// retransmission timeout of a lost packet.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle time after which TCP keepalive probes start, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which a connection counts as dead.
const KEEPALIVE_PROBES: u32 = 2;
/// Longest time for which sent bytes may stay unacknowledged (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest head of a response, and largest part of a body that is read at once, in bytes.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// Why a request got no response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The request wasn't sent, so it hasn't run.
    #[error("not sent: {0}")]
    NotSent(#[source] io::Error),
    /// The request wasn't sent because this node has no path to the backend server, of which that says
    /// nothing.
    #[error("not sent, no path: {0}")]
    NoPath(#[source] io::Error),
    /// The request was sent and no response arrived, so it may have run.
    #[error("sent, no response: {0}")]
    NoResponse(#[source] hyper::Error),
}

impl From<connect::Error> for Error {
    fn from(error: connect::Error) -> Self {
        match error {
            connect::Error::Server(error) => Self::NotSent(error),
            connect::Error::NoPath(error) => Self::NoPath(error),
        }
    }
}

/// The connection of one request, closed on drop.
#[derive(Debug)]
struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Response of a backend server. Dropping it closes the connection, which cancels the request.
#[derive(Debug)]
pub struct Response {
    /// Status and headers.
    pub head: Parts,
    /// The body, streamed.
    pub body: Incoming,
    _connection: Connection,
}

/// Sends a request over a connection and waits for the head of the response.
pub async fn send(stream: Stream, request: Request<Full<Bytes>>) -> Result<Response, Error> {
    let body_bytes = request.body().size_hint().lower() as usize;
    let socket = Socket::new(stream, body_bytes).map_err(Error::NotSent)?;
    let (mut sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(TokioIo::new(socket))
        .await
        .map_err(|error| Error::NotSent(io::Error::other(error)))?;
    let connection = Connection(tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(event = 1709; "connection to a backend server ended: {error}");
        }
    }));
    let response = sender.try_send_request(request).await;
    let response: hyper::Response<Incoming> =
        response.map_err(|mut failed| match failed.take_message() {
            Some(_) => Error::NotSent(io::Error::other(failed.into_error())),
            None => Error::NoResponse(failed.into_error()),
        })?;
    let (head, body) = response.into_parts();
    Ok(Response {
        head,
        body,
        _connection: connection,
    })
}

/// Opens a direct connection to a backend server.
pub(crate) async fn connect(address: SocketAddrV4) -> io::Result<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    detect_dead_peer(&stream)?;
    Ok(stream)
}

/// Makes the kernel close a connection whose peer no longer responds.
pub fn detect_dead_peer(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

//! The serving side of tunnels.

use super::frame::{Frame, MAX_CHUNK, config};
use super::inbox::{Inbox, WINDOW};
use super::{Failure, Hello, Refusal, Reply};
use crate::app::App;
use crate::connect::connect_direct;
use crate::metrics;
use bytes::BytesMut;
use futures::{SinkExt, StreamExt};
use route::reach::Path;
use socket2::SockRef;
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncWriteExt, Interest, Ready};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::Role;

/// Path of the WebSocket request of a tunnel; links use `/`.
pub const PATH: &str = "/tunnel";

/// Timeout for the hello of the opener.
const HELLO_TIMEOUT: Duration = Duration::from_millis(600);
/// Tunnels that a node serves at a time. Each takes two descriptors, an eighth of a node's 4,100. 256 tunnels
/// whose windows were full in both directions took 42 MB with both of their sides in one process, so the
/// serving side takes some 20 MB of a node's 110 MB in the worst case.
const MAX_TUNNELS: usize = 256;
/// Send buffer of a connection to a backend server. Buffered bytes count as taken although the backend server
/// may never receive them, and the default buffer holds several megabytes.
const SEND_BUFFER: usize = 64 << 10;

type Link = WebSocketStream<TcpStream>;

/// Serves a tunnel until it ends.
pub async fn serve(app: &Arc<App>, link: Link) -> Result<(), Failure> {
    // The opener sends nothing before it has the response to the WebSocket request, so no bytes are lost.
    let stream = link.into_inner();
    let mut link = WebSocketStream::from_raw_socket(stream, Role::Server, Some(config())).await;
    let _open = app.tunnels.track();
    let hello = timeout(HELLO_TIMEOUT, link.next()).await;
    let message = hello
        .map_err(|_| Failure::NoHello)?
        .ok_or(Failure::Closed)??;
    let hello = Hello::decode(&message).ok_or(Failure::NoHello)?;
    let connected = connect_server(app, &hello).await;
    let label = metrics::Tunnel {
        outcome: connected
            .as_ref()
            .map_or_else(|refusal| refusal.name(), |_| "served"),
    };
    app.metrics.tunnels.get_or_create(&label).inc();
    let reply = match &connected {
        Ok(_) => Reply::Connected,
        Err(refusal) => Reply::Refused(*refusal),
    };
    if let Some(message) = reply.encode() {
        link.send(message).await?;
    }
    match connected {
        Ok(server) => {
            log::debug!(event = 1770, peer = hello.node.as_str(), server = hello.server.as_str(); "serving a tunnel");
            Served::new(link, server).run().await
        }
        Err(refusal) => {
            log::warn!(event = 1771, peer = hello.node.as_str(), server = hello.server.as_str(); "tunnel refused: {refusal}");
            link.close(None).await?;
            Err(refusal.into())
        }
    }
}

/// Connects to the backend server of a tunnel, always directly. The result is evidence of this node's own path,
/// which may be all there is: a node without requests of its own makes no other connections.
async fn connect_server(app: &App, hello: &Hello) -> Result<TcpStream, Refusal> {
    let listing = {
        let state = app.state();
        if state.draining {
            return Err(Refusal::Stopping);
        }
        let server = state.pool.servers().get(&hello.server);
        let server = server.ok_or(Refusal::UnknownServer)?;
        // What the backend server has asked of this node holds for what it carries, too: the opener may not
        // know of it.
        if !server.accepts_work() || server.pause_left(Instant::now()).is_some() {
            return Err(Refusal::Unwanted);
        }
        let listing = server.listing.clone();
        if state.reach.path() == Path::Lost {
            return Err(Refusal::NoPath);
        }
        listing
    };
    if app.tunnels.count() > MAX_TUNNELS {
        return Err(Refusal::TooMany);
    }
    let connected = connect_direct(app, &listing).await.and_then(|stream| {
        SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER)?;
        Ok(stream)
    });
    connected.map_err(|error| {
        // The failure may be one of this node's path, which says nothing of the backend server.
        if app.state().reach.path() != Path::Sound {
            return Refusal::NoPath;
        }
        match error.kind() {
            io::ErrorKind::ConnectionRefused => Refusal::ConnectionRefused,
            _ => Refusal::Unreachable,
        }
    })
}

/// A tunnel that is served.
struct Served {
    link: Link,
    server: TcpStream,
    /// Bytes of the opener that the backend server's connection hasn't taken.
    inbox: Inbox,
    /// Number of bytes that may be sent to the opener before it gives more credit.
    credit: usize,
    /// Number of bytes that the backend server's connection has taken.
    taken: u64,
    /// Whether the opener sends no more bytes.
    finished: bool,
    /// Why writing to the backend server failed. What it has sent before is still passed on.
    write_error: Option<io::Error>,
}

impl Served {
    fn new(link: Link, server: TcpStream) -> Self {
        Self {
            link,
            server,
            inbox: Inbox::default(),
            credit: WINDOW,
            taken: 0,
            finished: false,
            write_error: None,
        }
    }

    /// Passes bytes on until the tunnel ends. The end of the opener closes the connection to the backend
    /// server at once.
    async fn run(mut self) -> Result<(), Failure> {
        let ended = match self.exchange().await {
            Ok(()) => Ok(()),
            Err(Failure::Server(error)) => Err(error),
            Err(failure) => return Err(failure),
        };
        let frame = match &ended {
            Ok(()) => Frame::End(self.taken),
            Err(error) => Frame::Reset(error.to_string()),
        };
        let Self {
            mut link, server, ..
        } = self;
        drop(server);
        link.send(frame.encode()).await?;
        // A socket that is closed with unread bytes discards those on their way to the peer, so this waits
        // until the opener has closed its side.
        while let Some(Ok(_)) = link.next().await {}
        Ok(ended?)
    }

    /// Passes bytes on until the backend server's connection has ended.
    async fn exchange(&mut self) -> Result<(), Failure> {
        loop {
            let interest = self.interest();
            tokio::select! {
                message = self.link.next() => {
                    let message = message.ok_or(Failure::Closed)??;
                    self.receive(message).await?;
                }
                ready = wait(&self.server, interest) => {
                    let ready = ready?;
                    if ready.is_writable() {
                        self.write().await?;
                    }
                    if ready.is_readable() && self.read().await? {
                        return Ok(self.check_end()?);
                    }
                }
            }
        }
    }

    /// What the backend server's connection is needed for; none if it has to wait for the opener.
    fn interest(&self) -> Option<Interest> {
        let readable = (self.credit > 0).then_some(Interest::READABLE);
        let writable = (!self.inbox.is_empty()).then_some(Interest::WRITABLE);
        match (readable, writable) {
            (Some(readable), Some(writable)) => Some(readable | writable),
            (readable, writable) => readable.or(writable),
        }
    }

    /// Handles a message of the opener.
    async fn receive(&mut self, message: Message) -> Result<(), Failure> {
        if message.is_ping() || message.is_pong() {
            return Ok(());
        }
        if message.is_close() {
            return Err(Failure::Closed);
        }
        match Frame::decode(message) {
            Some(Frame::Data(_)) if self.write_error.is_some() => (),
            Some(Frame::Data(bytes)) if self.inbox.push(&bytes) => (),
            Some(Frame::Credit(bytes)) => {
                self.credit = self.credit.saturating_add(bytes).min(WINDOW);
            }
            Some(Frame::Finish) => {
                self.finished = true;
                self.shut_down().await;
            }
            _ => return Err(Failure::Violation),
        }
        Ok(())
    }

    /// Ends the bytes to the backend server once the opener has ended them and all were taken.
    async fn shut_down(&mut self) {
        if self.finished && self.inbox.is_empty() && self.write_error.is_none() {
            self.write_error = self.server.shutdown().await.err();
        }
    }

    /// Writes received bytes to the backend server.
    async fn write(&mut self) -> Result<(), Failure> {
        match self.server.try_write(self.inbox.bytes()) {
            Ok(count) => {
                self.inbox.consume(count);
                self.taken += count as u64;
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) => {
                self.inbox.discard();
                self.write_error = Some(error);
            }
        }
        if let Some(credit) = self.inbox.take_credit() {
            self.link.send(Frame::Credit(credit).encode()).await?;
        }
        self.shut_down().await;
        Ok(())
    }

    /// Passes bytes of the backend server on; returns whether its connection has ended.
    async fn read(&mut self) -> Result<bool, Failure> {
        let mut buffer = BytesMut::zeroed(self.credit.min(MAX_CHUNK));
        let count = match self.server.try_read(&mut buffer) {
            Ok(0) => return Ok(true),
            Ok(count) => count,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(false),
            Err(error) => return Err(error.into()),
        };
        self.credit -= count;
        buffer.truncate(count);
        let frame = Frame::Data(buffer.freeze());
        self.link.send(frame.encode()).await?;
        Ok(false)
    }

    /// Checks the end of the backend server's connection, which is regular only after it has taken all bytes
    /// that were received.
    fn check_end(&mut self) -> io::Result<()> {
        if let Some(error) = self.write_error.take() {
            return Err(error);
        }
        if let Some(error) = SockRef::from(&self.server).take_error()? {
            return Err(error);
        }
        match self.inbox.is_empty() {
            true => Ok(()),
            false => Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }
}

/// Waits until a connection is ready for what it is needed for.
async fn wait(server: &TcpStream, interest: Option<Interest>) -> io::Result<Ready> {
    match interest {
        Some(interest) => server.ready(interest).await,
        None => std::future::pending().await,
    }
}

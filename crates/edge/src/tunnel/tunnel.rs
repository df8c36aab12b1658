//! A connection to a backend server through another node.

use super::frame::{Frame, MAX_CHUNK, config};
use super::inbox::{Inbox, WINDOW};
use super::serve::PATH;
use super::wakers::Wakers;
use super::{Error, Hello, Reply};
use crate::upstream::detect_dead_peer;
use bytes::BytesMut;
use futures::{SinkExt, StreamExt};
use std::io::{self, IoSlice};
use std::net::SocketAddrV4;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio_tungstenite::tungstenite::{self, Message};
use tokio_tungstenite::{WebSocketStream, client_async_with_config};

/// A connection to a backend server through another node.
///
/// Dropping it closes the connection to the backend server at once. A read returns the end of the stream only
/// if the backend server has closed its connection in order after it had taken all bytes that were written;
/// any other end is an error.
#[derive(Debug)]
pub struct Tunnel {
    link: Box<WebSocketStream<TcpStream>>,
    wakers: Arc<Wakers>,
    /// Wakes all of `wakers`.
    waker: Waker,
    inbox: Inbox,
    /// Number of bytes that may be sent before the other node gives more credit.
    credit: usize,
    /// Number of bytes that have been sent.
    sent: u64,
    /// Whether the end of the sent bytes was sent.
    finished: bool,
    end: Option<End>,
}

/// How the connection to the backend server ended.
#[derive(Debug)]
enum End {
    /// In order, after the backend server's connection had taken this many bytes.
    Regular(u64),
    /// With an error.
    Failed(io::ErrorKind, String),
}

impl Tunnel {
    /// Opens a connection to a backend server through the node at a link address; `node` is the name of this
    /// node, and `server` the id of the backend server.
    ///
    /// ```
    /// use edge::tunnel::{Error, Tunnel};
    /// use std::time::Duration;
    ///
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() {
    /// // Nothing listens there.
    /// let address = "127.0.0.1:1".parse().unwrap();
    /// let opened = Tunnel::open(address, "n-1", "i-1", Duration::from_secs(1)).await;
    /// assert!(matches!(opened, Err(Error::Connection(_))));
    /// # }
    /// ```
    pub async fn open(
        address: SocketAddrV4,
        node: &str,
        server: &str,
        timeout: Duration,
    ) -> Result<Self, Error> {
        let hello = Hello {
            server: server.to_owned(),
            node: node.to_owned(),
        };
        tokio::time::timeout(timeout, connect(address, &hello))
            .await
            .map_err(|_| Error::Timeout)?
            .map(Self::new)
    }

    fn new(link: WebSocketStream<TcpStream>) -> Self {
        let wakers = Arc::new(Wakers::default());
        Self {
            link: Box::new(link),
            waker: Waker::from(Arc::clone(&wakers)),
            wakers,
            inbox: Inbox::default(),
            credit: WINDOW,
            sent: 0,
            finished: false,
            end: None,
        }
    }

    /// Handles the next message.
    fn poll_message(&mut self) -> Poll<()> {
        let mut context = Context::from_waker(&self.waker);
        let message = ready!(self.link.poll_next_unpin(&mut context));
        match message {
            Some(Ok(Message::Ping(_) | Message::Pong(_))) => (),
            Some(Ok(message)) => self.handle(Frame::decode(message)),
            Some(Err(error)) => {
                let kind = match &error {
                    tungstenite::Error::Io(error) => error.kind(),
                    _ => io::ErrorKind::ConnectionAborted,
                };
                self.end = Some(End::Failed(kind, error.to_string()));
            }
            None => self.fail(io::ErrorKind::ConnectionAborted, "closed by the other node"),
        }
        Poll::Ready(())
    }

    fn handle(&mut self, frame: Option<Frame>) {
        match frame {
            Some(Frame::Data(bytes)) if self.inbox.push(&bytes) => (),
            Some(Frame::Credit(bytes)) => {
                self.credit = self.credit.saturating_add(bytes).min(WINDOW);
            }
            Some(Frame::End(taken)) => self.end = Some(End::Regular(taken)),
            Some(Frame::Reset(reason)) => self.fail(io::ErrorKind::ConnectionReset, &reason),
            _ => self.fail(io::ErrorKind::InvalidData, "protocol violation"),
        }
    }

    fn fail(&mut self, kind: io::ErrorKind, reason: &str) {
        self.end = Some(End::Failed(kind, reason.to_owned()));
    }

    /// The end of the stream for a reader, after all bytes were read.
    fn check_end(&self, end: &End) -> io::Result<()> {
        match end {
            End::Regular(taken) if *taken == self.sent => Ok(()),
            End::Regular(_) => Err(io::Error::new(
                io::ErrorKind::ConnectionAborted,
                "the backend server closed the connection before it had taken the request",
            )),
            End::Failed(kind, reason) => Err(io::Error::new(*kind, reason.clone())),
        }
    }

    /// Sends credit for consumed bytes. While the connection is busy, it waits for a later call.
    fn send_credit(&mut self) {
        let mut context = Context::from_waker(&self.waker);
        if self.end.is_some() || self.link.poll_ready_unpin(&mut context).is_pending() {
            return;
        }
        if let Some(credit) = self.inbox.take_credit() {
            // A failure shows at the next read.
            let _ = self.link.start_send_unpin(Frame::Credit(credit).encode());
        }
    }

    /// Waits until bytes may be sent; returns how many.
    fn poll_credit(&mut self) -> Poll<io::Result<usize>> {
        while self.credit == 0 && self.end.is_none() {
            ready!(self.poll_message());
        }
        if self.end.is_some() && !self.inbox.is_empty() {
            // A failed write would end the connection before the rest of the answer is read.
            return Poll::Pending;
        }
        if self.end.is_some() || self.finished {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let mut context = Context::from_waker(&self.waker);
        ready!(self.link.poll_ready_unpin(&mut context)).map_err(into_io)?;
        Poll::Ready(Ok(self.credit.min(MAX_CHUNK)))
    }

    fn send(&mut self, bytes: BytesMut) -> io::Result<usize> {
        let count = bytes.len();
        let frame = Frame::Data(bytes.freeze());
        self.link
            .start_send_unpin(frame.encode())
            .map_err(into_io)?;
        self.credit -= count;
        self.sent += count as u64;
        Ok(count)
    }
}

fn into_io(error: tungstenite::Error) -> io::Error {
    match error {
        tungstenite::Error::Io(error) => error,
        error => io::Error::other(error),
    }
}

async fn connect(
    address: SocketAddrV4,
    hello: &Hello,
) -> Result<WebSocketStream<TcpStream>, Error> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    detect_dead_peer(&stream)?;
    let url = format!("ws://{address}{PATH}");
    let (mut link, _) = client_async_with_config(url, stream, Some(config())).await?;
    if let Some(message) = hello.encode() {
        link.send(message).await?;
    }
    let message = link.next().await.ok_or(Error::Closed)??;
    match Reply::decode(&message) {
        Some(Reply::Connected) => Ok(link),
        Some(Reply::Refused(refusal)) => Err(refusal.into()),
        None if message.is_close() => Err(Error::Closed),
        None => Err(Error::InvalidReply),
    }
}

impl AsyncRead for Tunnel {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.wakers.reader.register(context.waker());
        while self.inbox.is_empty() {
            if let Some(end) = &self.end {
                return Poll::Ready(self.check_end(end));
            }
            // Credit that couldn't be sent before may be what the other node waits for.
            self.send_credit();
            ready!(self.poll_message());
        }
        let count = buffer.remaining().min(self.inbox.bytes().len());
        buffer.put_slice(&self.inbox.bytes()[..count]);
        self.inbox.consume(count);
        if self.end.is_some() && self.inbox.is_empty() {
            self.wakers.writer.wake();
        }
        self.send_credit();
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Tunnel {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(context, &[IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        // An empty message would mean the end of the bytes.
        if slices.iter().all(|slice| slice.is_empty()) {
            return Poll::Ready(Ok(0));
        }
        self.wakers.writer.register(context.waker());
        let limit = ready!(self.poll_credit())?;
        let total = slices.iter().map(|slice| slice.len()).sum::<usize>();
        let mut chunk = BytesMut::with_capacity(limit.min(total));
        for slice in slices {
            let count = slice.len().min(limit - chunk.len());
            chunk.extend_from_slice(&slice[..count]);
        }
        Poll::Ready(self.send(chunk))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.wakers.writer.register(context.waker());
        let this = &mut *self;
        let mut context = Context::from_waker(&this.waker);
        this.link.poll_flush_unpin(&mut context).map_err(into_io)
    }

    /// Ends the bytes that are sent. The other direction stays open.
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.finished && self.end.is_none() {
            self.wakers.writer.register(context.waker());
            let this = &mut *self;
            let mut context = Context::from_waker(&this.waker);
            ready!(this.link.poll_ready_unpin(&mut context)).map_err(into_io)?;
            let finish = Frame::Finish.encode();
            this.link.start_send_unpin(finish).map_err(into_io)?;
            this.finished = true;
        }
        self.poll_flush(context)
    }
}

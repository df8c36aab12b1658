//! Socket of a request to a backend server.

use crate::stream::Stream;
use socket2::SockRef;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Send buffer of requests whose body is larger than this. Buffered bytes count as written although the
/// backend server may never receive them, and the default buffer holds several megabytes.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// End of the head of a request.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Socket that carries one request, and reports an early end of its response as an error.
///
/// A response without a length ends with its connection. A backend server that closes the connection before
/// it has received the whole request has aborted the response, even if it closes its side in an orderly way
/// before it resets the connection.
#[derive(Debug)]
pub struct Socket {
    stream: Stream,
    /// Number of bytes of `HEAD_END` that the written bytes end with, until the head is complete.
    head_end: usize,
    /// Bytes of the request's body that haven't been written.
    unwritten: usize,
}

impl Socket {
    /// Creates the socket of a request with a body of this many bytes.
    pub fn new(stream: impl Into<Stream>, body_bytes: usize) -> io::Result<Self> {
        let stream = stream.into();
        // A tunnel bounds the bytes on their way by itself.
        if let Stream::Direct(stream) = &stream
            && body_bytes > MAX_BUFFERED_BYTES
        {
            SockRef::from(stream).set_send_buffer_size(MAX_BUFFERED_BYTES)?;
        }
        Ok(Self {
            stream,
            head_end: 0,
            unwritten: body_bytes,
        })
    }

    /// Whether the request hasn't been written completely.
    fn is_unfinished(&self) -> bool {
        self.head_end < HEAD_END.len() || self.unwritten > 0
    }

    /// Records that bytes of the request have been written.
    fn record(&mut self, mut bytes: &[u8]) {
        while let Some((byte, rest)) = bytes.split_first() {
            if self.head_end == HEAD_END.len() {
                self.unwritten = self.unwritten.saturating_sub(bytes.len());
                return;
            }
            self.head_end = match *byte == HEAD_END[self.head_end] {
                true => self.head_end + 1,
                false => usize::from(*byte == HEAD_END[0]),
            };
            bytes = rest;
        }
    }

    /// Checks the end of the connection, which is regular only after the whole request was written.
    fn check_end(&self) -> io::Result<()> {
        // A tunnel reports a reset as an error of the read.
        if let Stream::Direct(stream) = &self.stream
            && let Some(error) = SockRef::from(stream).take_error()?
        {
            return Err(error);
        }
        match self.is_unfinished() {
            true => Err(io::ErrorKind::ConnectionAborted.into()),
            false => Ok(()),
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.remaining();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if before > 0 && buffer.remaining() == before {
            self.check_end()?;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        self.record(&bytes[..count]);
        Poll::Ready(Ok(count))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, slices))?;
        let mut left = count;
        for slice in slices {
            let written = left.min(slice.len());
            self.record(&slice[..written]);
            left -= written;
        }
        Poll::Ready(Ok(count))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

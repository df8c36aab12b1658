//! Byte stream to a backend server.

use crate::tunnel::Tunnel;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Byte stream to a backend server.
#[derive(Debug)]
pub enum Stream {
    /// A connection of this node.
    Direct(TcpStream),
    /// A connection of another node.
    Tunnelled(Tunnel),
}

/// How a request gets to its backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Via {
    /// Over a connection of this node.
    Direct,
    /// Over a connection of another node.
    Tunnel,
}

impl Stream {
    /// How a request gets to its backend server on it.
    pub fn via(&self) -> Via {
        match self {
            Self::Direct(_) => Via::Direct,
            Self::Tunnelled(_) => Via::Tunnel,
        }
    }
}

impl From<TcpStream> for Stream {
    fn from(stream: TcpStream) -> Self {
        Self::Direct(stream)
    }
}

impl From<Tunnel> for Stream {
    fn from(tunnel: Tunnel) -> Self {
        Self::Tunnelled(tunnel)
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_read(context, buffer),
            Self::Tunnelled(tunnel) => Pin::new(tunnel).poll_read(context, buffer),
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_write(context, bytes),
            Self::Tunnelled(tunnel) => Pin::new(tunnel).poll_write(context, bytes),
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_write_vectored(context, slices),
            Self::Tunnelled(tunnel) => Pin::new(tunnel).poll_write_vectored(context, slices),
        }
    }

    fn is_write_vectored(&self) -> bool {
        match self {
            Self::Direct(stream) => stream.is_write_vectored(),
            Self::Tunnelled(tunnel) => tunnel.is_write_vectored(),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_flush(context),
            Self::Tunnelled(tunnel) => Pin::new(tunnel).poll_flush(context),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_shutdown(context),
            Self::Tunnelled(tunnel) => Pin::new(tunnel).poll_shutdown(context),
        }
    }
}

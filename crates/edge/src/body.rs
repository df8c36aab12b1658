//! Response bodies.

use crate::memory::Charge;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::sync::mpsc;

/// The body can't be completed. The connection has to close without the end of the body, so that the
/// caller notices.
#[derive(Debug, thiserror::Error)]
#[error("response body truncated")]
pub struct Truncated;

/// Body of a response.
#[derive(Debug)]
pub enum Body {
    /// The complete body.
    Full(Full<Bytes>),
    /// Events, sent as they arrive.
    Stream(mpsc::Receiver<Result<Bytes, Truncated>>),
    /// Blocks of a response.
    Blocks(Blocks),
}

/// Blocks of a response that have arrived, and those that follow.
#[derive(Debug)]
pub struct Blocks {
    received: VecDeque<Bytes>,
    /// Bytes that are not yet passed on, if the length is known.
    left: Option<u64>,
    rest: Option<mpsc::UnboundedReceiver<Result<Bytes, Truncated>>>,
}

impl Blocks {
    fn poll_block(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, Truncated>>> {
        let block = match (self.received.pop_front(), &mut self.rest) {
            (Some(block), _) => Some(Ok(block)),
            (None, Some(rest)) => ready!(rest.poll_recv(context)),
            (None, None) => None,
        };
        if let (Some(Ok(block)), Some(left)) = (&block, &mut self.left) {
            *left = left.saturating_sub(block.len() as u64);
        }
        Poll::Ready(block)
    }
}

/// Bytes and the memory that they occupy, which is released with their last reference.
struct Charged {
    bytes: Bytes,
    _charge: Charge,
}

impl AsRef<[u8]> for Charged {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Body {
    /// Creates a body from its complete bytes.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Full::new(bytes.into()))
    }

    /// Creates a body from the blocks that have arrived, its length if it is known, and the blocks
    /// that follow.
    pub fn blocks(
        received: VecDeque<Bytes>,
        length: Option<u64>,
        rest: Option<mpsc::UnboundedReceiver<Result<Bytes, Truncated>>>,
    ) -> Self {
        Self::Blocks(Blocks {
            received,
            left: length,
            rest,
        })
    }

    /// Creates a body from its complete bytes and the memory that they occupy until they are written.
    pub fn charged(bytes: Bytes, charge: Charge) -> Self {
        Self::full(Bytes::from_owner(Charged {
            bytes,
            _charge: charge,
        }))
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match &mut *self {
            Self::Full(full) => {
                let frame = ready!(Pin::new(full).poll_frame(context));
                Poll::Ready(frame.map(|frame| frame.map_err(|never: Infallible| match never {})))
            }
            Self::Stream(events) => {
                let event = ready!(events.poll_recv(context));
                Poll::Ready(event.map(|event| event.map(Frame::data)))
            }
            Self::Blocks(blocks) => {
                let block = ready!(blocks.poll_block(context));
                Poll::Ready(block.map(|block| block.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(full) => full.is_end_stream(),
            Self::Stream(_) => false,
            Self::Blocks(blocks) => blocks.left == Some(0) && blocks.rest.is_none(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(full) => full.size_hint(),
            Self::Stream(_) => SizeHint::default(),
            Self::Blocks(blocks) => blocks
                .left
                .map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}

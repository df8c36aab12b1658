//! Response bodies.

use crate::memory::Charge;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
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
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(full) => full.is_end_stream(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(full) => full.size_hint(),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

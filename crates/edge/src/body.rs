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
pub struct Body {
    content: Content,
    /// Memory of the content, released once it is written.
    _charge: Option<Charge>,
}

#[derive(Debug)]
enum Content {
    /// The complete body.
    Full(Full<Bytes>),
    /// Events, sent as they arrive.
    Stream(mpsc::Receiver<Result<Bytes, Truncated>>),
}

impl Body {
    /// Creates a body from its complete bytes.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self {
            content: Content::Full(Full::new(bytes.into())),
            _charge: None,
        }
    }

    /// Creates a body from its complete bytes and the memory that they occupy.
    pub fn charged(bytes: Bytes, charge: Charge) -> Self {
        Self {
            _charge: Some(charge),
            ..Self::full(bytes)
        }
    }

    /// Creates a body from events, sent as they arrive.
    pub fn stream(events: mpsc::Receiver<Result<Bytes, Truncated>>) -> Self {
        Self {
            content: Content::Stream(events),
            _charge: None,
        }
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match &mut self.content {
            Content::Full(full) => {
                let frame = ready!(Pin::new(full).poll_frame(context));
                Poll::Ready(frame.map(|frame| frame.map_err(|never: Infallible| match never {})))
            }
            Content::Stream(events) => {
                let event = ready!(events.poll_recv(context));
                Poll::Ready(event.map(|event| event.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Full(full) => full.is_end_stream(),
            Content::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Full(full) => full.size_hint(),
            Content::Stream(_) => SizeHint::default(),
        }
    }
}

//! Bodies of answers.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::sync::mpsc;

/// The answer can't be finished: the connection has to end without the end of the body.
#[derive(Debug, thiserror::Error)]
#[error("the answer broke off")]
pub struct Broken;

/// Body of an answer.
#[derive(Debug)]
pub enum Body {
    /// All of it.
    Whole(Full<Bytes>),
    /// Events as they come.
    Events(mpsc::Receiver<Result<Bytes, Broken>>),
}

impl Body {
    /// A body that is known as a whole.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Full::new(bytes.into()))
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match &mut *self {
            Self::Whole(full) => {
                let frame = ready!(Pin::new(full).poll_frame(context));
                Poll::Ready(frame.map(|frame| frame.map_err(|never: Infallible| match never {})))
            }
            Self::Events(events) => {
                let event = ready!(events.poll_recv(context));
                Poll::Ready(event.map(|event| event.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(full) => full.is_end_stream(),
            Self::Events(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(full) => full.size_hint(),
            Self::Events(_) => SizeHint::default(),
        }
    }
}

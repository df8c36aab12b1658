//! Sends chat completion requests and reads the streamed responses.

use crate::{Chat, Chunk, Error, Pool};
use bytes::{Bytes, BytesMut};
use eventsource_stream::{EventStreamError, Eventsource};
use futures::{Stream, StreamExt};
use std::time::Duration;
use tokio::time::timeout;

/// Event data that marks the end of a streamed response.
const END_MARKER: &str = "[DONE]";

/// Longest part of an engine's error response that is kept, in bytes.
const MAX_ERROR_BYTES: usize = 16 * 1024;

/// Client of model engines.
#[derive(Clone, Copy, Debug)]
pub struct Engine<'a> {
    pool: &'a Pool,
}

impl<'a> Engine<'a> {
    /// Creates a client that uses the connections of a pool.
    ///
    /// ```
    /// let pool = backend::Pool::default();
    /// let engine = backend::Engine::new(&pool);
    /// # let _ = engine;
    /// ```
    pub fn new(pool: &'a Pool) -> Self {
        Self { pool }
    }

    /// Sends a request and returns the stream of chunks, which ends at the engine's end marker.
    ///
    /// A stream that ends without the marker yields [`Error::Truncated`]. Dropping the stream closes
    /// the connection, which cancels the request at the engine.
    pub async fn chat(
        &self,
        backend: &str,
        chat: Chat,
    ) -> Result<impl Stream<Item = Result<Chunk, Error>> + Send + Unpin + 'static, Error> {
        let settings = self.pool.settings();
        let request = self
            .pool
            .client(backend)
            .post(format!("http://{backend}/v1/chat/completions"))
            .header("content-type", "application/json")
            .header("x-request-id", chat.request_id)
            .header("x-sardinebank-customer", chat.customer)
            .header("x-fencing-token", chat.fencing_token)
            .body(chat.body)
            .send();
        let response = match timeout(settings.first_byte_timeout, request).await {
            Ok(result) => result.map_err(Error::from_send)?,
            Err(_) => {
                self.pool.reset(backend);
                return Err(Error::TimedOut(settings.first_byte_timeout));
            }
        };
        let response = check_status(response, settings.progress_timeout).await?;
        Ok(chunk_stream(response, settings.progress_timeout))
    }
}

/// Passes a successful response on and turns any other into an error.
async fn check_status(
    response: reqwest::Response,
    body_timeout: Duration,
) -> Result<reqwest::Response, Error> {
    let status = response.status().as_u16();
    match status {
        200..300 => Ok(response),
        409 | 429 | 503 => Err(Error::Refused { status }),
        400..500 => {
            let body = read_error(response, body_timeout).await;
            Err(Error::Rejected { status, body })
        }
        _ => Err(Error::Failed { status }),
    }
}

/// Reads the beginning of an error response. Its status is known already, so what is missing after
/// the timeout or beyond the size limit is left out.
async fn read_error(mut response: reqwest::Response, body_timeout: Duration) -> Bytes {
    let mut body = BytesMut::new();
    let reading = async {
        while let Ok(Some(part)) = response.chunk().await {
            let left = MAX_ERROR_BYTES - body.len();
            body.extend_from_slice(&part[..part.len().min(left)]);
            if body.len() == MAX_ERROR_BYTES {
                return;
            }
        }
    };
    // After the timeout, what has been read so far is used.
    let _ = timeout(body_timeout, reading).await;
    body.freeze()
}

/// Decodes the events of a response up to the end marker or the first error.
fn chunk_stream(
    response: reqwest::Response,
    progress_timeout: Duration,
) -> impl Stream<Item = Result<Chunk, Error>> + Send + Unpin + 'static {
    let events = Box::pin(response.bytes_stream().eventsource());
    Box::pin(futures::stream::unfold(
        Some(events),
        move |state| async move {
            let mut events = state?;
            let event = match timeout(progress_timeout, events.next()).await {
                Ok(event) => event,
                Err(_) => return Some((Err(Error::TimedOut(progress_timeout)), None)),
            };
            match event {
                Some(Ok(event)) if event.data == END_MARKER => None,
                Some(Ok(event)) => {
                    let chunk = Chunk::parse(event.data.into());
                    let rest = chunk.is_ok().then_some(events);
                    Some((chunk, rest))
                }
                Some(Err(EventStreamError::Transport(source))) => {
                    Some((Err(Error::ConnectionLost(source)), None))
                }
                Some(Err(_)) | None => Some((Err(Error::Truncated), None)),
            }
        },
    ))
}

//! Buffers responses of backend servers.

use super::blocks::Blocks;
use super::buffer::{self, Error};
use super::exchange::Exchange;
use super::headers::strip_response;
use crate::app::App;
use crate::body::Body;
use crate::upstream;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Body as _;
use std::time::{Duration, Instant};
use tokio::time::timeout_at;

/// Largest response that is buffered, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Largest error response that is buffered, in bytes.
const MAX_ERROR_BYTES: usize = 256 << 10;
/// Longest time for which the body of an error response is read.
const ERROR_BODY_TIMEOUT: Duration = Duration::from_millis(500);

/// A response of a backend server.
pub enum Collected {
    /// It is complete.
    Complete(Response<Body>),
    /// Its window has no room for the rest.
    Partial(Partial),
}

/// The beginning of a response.
pub struct Partial {
    /// The response, whose body holds the rest.
    pub response: upstream::Response,
    /// Bytes that have arrived.
    pub blocks: Blocks,
    /// Bytes that follow them, for which the window has no room.
    pub pending: Bytes,
}

impl Partial {
    /// Head of the response for the caller.
    pub fn head(&self) -> Response<()> {
        let mut head = Response::new(());
        *head.status_mut() = self.response.head.status;
        *head.headers_mut() = self.response.head.headers.clone();
        strip_response(head.headers_mut());
        head
    }

    /// Length of the whole body, if the backend server has announced it.
    pub fn announced(&self) -> Option<u64> {
        let rest = self.response.body.size_hint().exact()?;
        Some((self.blocks.len() + self.pending.len()) as u64 + rest)
    }
}

/// Buffers a response as long as there is room for it.
///
/// One without an announced length may have no end. If the request can be sent to another backend
/// server, such a response is given up instead of being passed on in part.
pub async fn collect(
    app: &App,
    response: upstream::Response,
    is_repeatable: bool,
) -> Result<Collected, Error> {
    let Some(announced) = response.body.size_hint().exact() else {
        return match is_repeatable {
            true => collect_within(app, response, MAX_RESPONSE_BYTES)
                .await
                .map(Collected::Complete),
            false => collect_blocks(app, response, 0).await,
        };
    };
    if announced > MAX_RESPONSE_BYTES as u64 {
        return Err(Error::TooLarge(MAX_RESPONSE_BYTES));
    }
    collect_blocks(app, response, announced as usize).await
}

async fn collect_blocks(
    app: &App,
    mut response: upstream::Response,
    announced: usize,
) -> Result<Collected, Error> {
    let mut blocks = Blocks::new(app.memory.window());
    loop {
        let data = match response.body.frame().await {
            None => break,
            Some(frame) => frame?.into_data().unwrap_or_default(),
        };
        if blocks.len() + data.len() > MAX_RESPONSE_BYTES {
            return Err(Error::TooLarge(MAX_RESPONSE_BYTES));
        }
        if !blocks.push(&data, announced) {
            return Ok(Collected::Partial(Partial {
                response,
                blocks,
                pending: data,
            }));
        }
    }
    let len = blocks.len() as u64;
    let (blocks, _) = blocks.into_parts();
    let mut response = Response::from_parts(response.head, Body::blocks(blocks, Some(len), None));
    strip_response(response.headers_mut());
    Ok(Collected::Complete(response))
}

/// Buffers an error response; none if it ends early, is too large or takes too long. Its status is
/// known already, so the request doesn't wait for a body that may have no end.
pub async fn collect_error(
    app: &App,
    exchange: &Exchange,
    response: upstream::Response,
) -> Option<Response<Body>> {
    let until = (Instant::now() + ERROR_BODY_TIMEOUT).min(exchange.deadline);
    let collecting = collect_within(app, response, MAX_ERROR_BYTES);
    match timeout_at(until.into(), collecting).await {
        Ok(response) => response.ok(),
        Err(_) => {
            log::debug!(event = 1737; "the body of an error response has no end in time");
            None
        }
    }
}

async fn collect_within(
    app: &App,
    mut response: upstream::Response,
    max_bytes: usize,
) -> Result<Response<Body>, Error> {
    let charge = app.memory.revocable_charge();
    let read = buffer::read(&mut response.body, max_bytes, charge).await;
    let (body, charge) = read.inspect_err(|error| {
        log::debug!(event = 1736; "can't read the response of a backend server: {error}");
    })?;
    let mut response = Response::from_parts(response.head, Body::charged(body, charge));
    strip_response(response.headers_mut());
    Ok(response)
}

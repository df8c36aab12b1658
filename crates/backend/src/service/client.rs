//! Sends requests to plain services and reads the complete responses.

use crate::{Call, Error, Pool, Reply};
use bytes::BytesMut;
use std::time::Duration;
use tokio::time::timeout;

/// Statuses of final responses. The HTTP library passes on all numbers of three digits.
const VALID_STATUSES: std::ops::Range<u16> = 200..600;

/// Largest request, in bytes, whose response may end with its connection. A service may close the
/// connection before it has received a longer one, and the HTTP library doesn't report that.
const MAX_UNFRAMED_REQUEST_BYTES: usize = 64 << 10;

/// Client of plain services.
#[derive(Clone, Copy, Debug)]
pub struct Service<'a> {
    pool: &'a Pool,
}

impl<'a> Service<'a> {
    /// Creates a client that uses the connections of a pool.
    ///
    /// ```
    /// let pool = backend::Pool::default();
    /// let service = backend::Service::new(&pool);
    /// # let _ = service;
    /// ```
    pub fn new(pool: &'a Pool) -> Self {
        Self { pool }
    }

    /// Sends a request and reads the response within a time limit.
    pub async fn call(&self, backend: &str, call: Call, limit: Duration) -> Result<Reply, Error> {
        match timeout(limit, self.send(backend, call)).await {
            Ok(reply) => reply,
            Err(_) => {
                self.pool.reset(backend);
                Err(Error::TimedOut(limit))
            }
        }
    }

    async fn send(&self, backend: &str, call: Call) -> Result<Reply, Error> {
        let is_long = call.body.len() > MAX_UNFRAMED_REQUEST_BYTES;
        let method = reqwest::Method::from_bytes(call.method.as_bytes()).unwrap_or_default();
        let mut request = self
            .pool
            .client(backend)
            .request(method, format!("http://{backend}{}", call.path))
            .header("x-request-id", call.request_id)
            .header("x-sardinebank-customer", call.customer)
            .body(call.body);
        if let Some(content_type) = call.content_type {
            request = request.header("content-type", content_type);
        }
        if let Some(key) = call.idempotency_key {
            request = request.header("idempotency-key", key);
        }
        let response = request.send().await.map_err(Error::from_send)?;
        self.read_reply(response, is_long).await
    }

    async fn read_reply(
        &self,
        mut response: reqwest::Response,
        is_long: bool,
    ) -> Result<Reply, Error> {
        let status = response.status().as_u16();
        if status == 503 || status == 429 {
            return Err(Error::Refused { status });
        }
        if !VALID_STATUSES.contains(&status) {
            return Err(Error::Failed { status });
        }
        let is_framed = response.content_length().is_some()
            || response.headers().contains_key("transfer-encoding");
        if is_long && !is_framed {
            return Err(Error::Unframed);
        }
        let content_type = response
            .headers()
            .get("content-type")
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        let limit = self.pool.settings().max_reply_bytes;
        let mut body = BytesMut::new();
        while let Some(part) = response.chunk().await.map_err(Error::ConnectionLost)? {
            if body.len() + part.len() > limit {
                return Err(Error::Oversized { limit });
            }
            body.extend_from_slice(&part);
        }
        Ok(Reply {
            status,
            content_type,
            body: body.freeze(),
        })
    }
}

//! HTTP client of the object store.

use super::Settings;
use crate::{Cause, Error, http};
use bytes::Bytes;
use reqwest::Response;

/// Client of the object store. Clones share their connections.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    base: String,
}

impl Client {
    /// Creates a client. Connections are opened by the first calls.
    ///
    /// ```
    /// let client = clients::store::Client::new(clients::store::Settings::default());
    /// assert!(client.is_ok());
    /// ```
    pub fn new(settings: Settings) -> Result<Self, Error> {
        let http = http::build_client(settings.connect_timeout, settings.timeout)?;
        let base = format!("{}/{}", settings.url, settings.bucket);
        Ok(Self { http, base })
    }

    /// Puts an object if the key doesn't exist. An existing key gives [`Error::Conflict`].
    ///
    /// ```no_run
    /// # async fn run(client: clients::store::Client) -> Result<(), clients::Error> {
    /// client.put_if_absent("bills/n1/1/1", "{}".into()).await?;
    /// # Ok(()) }
    /// ```
    pub async fn put_if_absent(&self, key: &str, body: Bytes) -> Result<(), Error> {
        let response = self
            .http
            .put(format!("{}/{key}", self.base))
            .header("if-none-match", "*")
            .body(body)
            .send()
            .await
            .map_err(Error::transport)?;
        check_status(&response)
    }

    /// Reads an object; `None` if the key doesn't exist.
    ///
    /// ```no_run
    /// # async fn run(client: clients::store::Client) -> Result<(), clients::Error> {
    /// assert!(client.get("bills/none").await?.is_none());
    /// # Ok(()) }
    /// ```
    pub async fn get(&self, key: &str) -> Result<Option<Bytes>, Error> {
        let response = self
            .http
            .get(format!("{}/{key}", self.base))
            .send()
            .await
            .map_err(Error::transport)?;
        if response.status().as_u16() == 404 {
            return Ok(None);
        }
        check_status(&response)?;
        response.bytes().await.map(Some).map_err(Error::transport)
    }
}

/// Maps the status of a response to an error.
fn check_status(response: &Response) -> Result<(), Error> {
    match response.status().as_u16() {
        200..=299 => Ok(()),
        409 | 412 => Err(Error::Conflict { failed: vec![0] }),
        429 => Err(Error::Throttled),
        status @ 500.. => Err(Error::Unknown(Cause::Status(status))),
        status => Err(Error::Rejected {
            status,
            kind: String::new(),
        }),
    }
}

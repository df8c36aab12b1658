//! HTTP client of the table service.

use super::{Condition, Item, Range, Settings, Table, Write, codec, response};
use crate::{Cause, Error, http};
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Client of the table service. Clones share their connections.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    settings: Settings,
}

impl Client {
    /// Creates a client. Connections are opened by the first calls.
    ///
    /// ```
    /// use clients::table::{Client, Settings};
    /// let client = Client::new(Settings { url: "http://127.0.0.1:1".into(), ..Settings::default() });
    /// assert!(client.is_ok());
    /// ```
    pub fn new(settings: Settings) -> Result<Self, Error> {
        let http = http::build_client(settings.connect_timeout, settings.timeout)?;
        Ok(Self { http, settings })
    }

    async fn call<R: DeserializeOwned>(&self, operation: &str, body: Value) -> Result<R, Error> {
        let response = self
            .http
            .post(&self.settings.url)
            .header(
                codec::TARGET_HEADER,
                format!("{}{operation}", codec::TARGET_PREFIX),
            )
            .header("content-type", codec::CONTENT_TYPE)
            .body(body.to_string())
            .send()
            .await
            .map_err(Error::transport)?;
        let status = response.status().as_u16();
        let bytes = response
            .bytes()
            .await
            .map_err(|source| Error::Unknown(Cause::Connection(source)))?;
        if status >= 300 {
            return Err(response::parse_error(status, &bytes));
        }
        serde_json::from_slice(&bytes).map_err(|source| Error::Unknown(Cause::Body(source)))
    }
}

impl Table for Client {
    async fn get(&self, partition: &str, sort: &str) -> Result<Option<Item>, Error> {
        let body = codec::get(&self.settings.table, partition, sort);
        let found: response::Get = self.call("GetItem", body).await?;
        Ok(found.item.map(Item::from))
    }

    async fn put(&self, item: Item, condition: Condition) -> Result<(), Error> {
        let body = codec::put(&self.settings.table, &item, condition);
        let response::Acknowledgement {} = self.call("PutItem", body).await?;
        Ok(())
    }

    async fn delete(&self, partition: &str, sort: &str, condition: Condition) -> Result<(), Error> {
        let body = codec::delete(&self.settings.table, partition, sort, condition);
        let response::Acknowledgement {} = self.call("DeleteItem", body).await?;
        Ok(())
    }

    async fn list(&self, partition: &str, range: &Range, limit: usize) -> Result<Vec<Item>, Error> {
        let table = &self.settings.table;
        let mut items: Vec<Item> = Vec::new();
        let mut start: Option<Value> = None;
        while items.len() < limit {
            let remaining = limit - items.len();
            let body = codec::query(table, partition, range, remaining, start.as_ref());
            let page: response::Query = self.call("Query", body).await?;
            items.extend(page.items.into_iter().map(Item::from));
            start = page.last;
            if start.is_none() {
                break;
            }
        }
        Ok(items)
    }

    async fn transact(&self, writes: &[Write], token: &str) -> Result<(), Error> {
        let body = codec::transact(&self.settings.table, writes, token);
        let response::Acknowledgement {} = self.call("TransactWriteItems", body).await?;
        Ok(())
    }
}

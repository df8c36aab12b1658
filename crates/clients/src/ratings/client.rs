//! HTTP client of the rating service.

use super::Settings;
use crate::{Cause, Error, http};
use serde::{Deserialize, Serialize};

#[derive(Debug, Serialize)]
struct Request<'a> {
    model: &'a str,
    text_1: &'a str,
    text_2: &'a str,
}

#[derive(Debug, Deserialize)]
struct Scores {
    data: Vec<Score>,
}

#[derive(Debug, Deserialize)]
struct Score {
    score: f64,
}

/// Client of the rating service. Clones share their connections.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    url: String,
}

impl Client {
    /// Creates a client. Connections are opened by the first calls.
    ///
    /// ```
    /// let client = clients::ratings::Client::new(clients::ratings::Settings::default());
    /// assert!(client.is_ok());
    /// ```
    pub fn new(settings: Settings) -> Result<Self, Error> {
        let http = http::build_client(settings.connect_timeout, settings.timeout)?;
        let url = format!("{}/score", settings.url);
        Ok(Self { http, url })
    }

    /// Rates a model's answer to a prompt of a task, from 0 (worst) to 1 (best).
    ///
    /// ```no_run
    /// # async fn run(client: clients::ratings::Client) -> Result<(), clients::Error> {
    /// let score = client.score("tag", "Is it urgent?", "yes").await?;
    /// assert!((0.0..=1.0).contains(&score));
    /// # Ok(()) }
    /// ```
    pub async fn score(&self, task: &str, prompt: &str, answer: &str) -> Result<f64, Error> {
        let request = Request {
            model: task,
            text_1: prompt,
            text_2: answer,
        };
        let response = self
            .http
            .post(&self.url)
            .json(&request)
            .send()
            .await
            .map_err(Error::transport)?;
        let status = response.status().as_u16();
        match status {
            200 => {}
            429 => return Err(Error::Throttled),
            _ => return Err(Error::Unknown(Cause::Status(status))),
        }
        let bytes = response.bytes().await.map_err(Error::transport)?;
        let scores: Scores =
            serde_json::from_slice(&bytes).map_err(|source| Error::Unknown(Cause::Body(source)))?;
        let first = scores.data.first().map(|score| score.score);
        first.ok_or(Error::Unknown(Cause::Status(status)))
    }
}

//! HTTP client that tries the nodes in turn.

use crate::error::{Attempt, AttemptError, Error};
use crate::options::Connection;
use contract::operator::{Ran, Refusal};
use reqwest::{Method, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use settings::Secret;
use std::time::Duration;

/// Path prefix of the operator API.
const ROOT: &str = "/operator/v1";

/// Number of times that all nodes are tried before a call fails.
const ROUNDS: usize = 3;

/// Delay before all nodes are tried again.
const ROUND_DELAY: Duration = Duration::from_millis(200);

/// Client of the operator API of a fleet.
pub struct Client {
    http: reqwest::Client,
    nodes: Vec<String>,
    key: Secret,
}

/// Reason why one node returned no result.
enum Failure {
    /// The next node may be tried; `maybe_executed` tells whether the call may have taken effect.
    Retryable {
        error: AttemptError,
        maybe_executed: bool,
    },
    /// The response is final.
    Final(Error),
}

/// Failed attempts of a call, and whether one of them may have taken effect.
struct Attempts {
    attempts: Vec<Attempt>,
    maybe_executed: bool,
}

impl Client {
    /// Creates a client from flags and environment variables.
    pub fn new(connection: Connection) -> Result<Self, Error> {
        let nodes = node_urls(connection.node);
        if nodes.is_empty() {
            return Err(Error::NoNode);
        }
        let key = connection
            .operator_key
            .or_else(|| std::env::var("SARDINECTL_OPERATOR_KEY").ok())
            .ok_or(Error::NoKey)?;
        let http = reqwest::Client::builder()
            .timeout(Duration::from_millis(connection.timeout_ms))
            .no_proxy()
            .build()
            .map_err(Error::Client)?;
        Ok(Self {
            http,
            nodes,
            key: Secret::new(key),
        })
    }

    /// A client with the same key for a single node.
    pub fn for_node(&self, node: &str) -> Self {
        Self {
            http: self.http.clone(),
            nodes: vec![node.trim_end_matches('/').to_owned()],
            key: self.key.clone(),
        }
    }

    /// Sends a GET request to the nodes in turn until one of them returns a final response.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let result = self.call(Method::GET, path, None::<&()>).await;
        result.map_err(|failure| match failure {
            Ok(error) => error,
            Err(attempts) => Error::Unreachable(attempts.attempts),
        })
    }

    /// Sends a POST request to the nodes in turn until one of them returns a final response. The
    /// request must be idempotent; `change` identifies it in the error if its outcome is unknown.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
        change: &str,
    ) -> Result<T, Error> {
        let result = self.call(Method::POST, path, Some(body)).await;
        result.map_err(|failure| match failure {
            Ok(error) => error,
            Err(Attempts {
                attempts,
                maybe_executed: true,
            }) => Error::UnknownOutcome {
                change: change.to_owned(),
                attempts,
            },
            Err(attempts) => Error::Unreachable(attempts.attempts),
        })
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&impl Serialize>,
    ) -> Result<T, Result<Error, Attempts>> {
        let mut attempts = Vec::new();
        let mut maybe_executed = false;
        for round in 0..ROUNDS {
            if round > 0 {
                tokio::time::sleep(ROUND_DELAY).await;
            }
            attempts.clear();
            for node in &self.nodes {
                match self.attempt(node, method.clone(), path, body).await {
                    Ok(value) => return Ok(value),
                    Err(Failure::Final(error)) => return Err(Ok(error)),
                    Err(Failure::Retryable {
                        error,
                        maybe_executed: executed,
                    }) => {
                        maybe_executed |= executed;
                        let node = node.clone();
                        attempts.push(Attempt { node, error });
                    }
                }
            }
        }
        Err(Err(Attempts {
            attempts,
            maybe_executed,
        }))
    }

    async fn attempt<T: DeserializeOwned>(
        &self,
        node: &str,
        method: Method,
        path: &str,
        body: Option<&impl Serialize>,
    ) -> Result<T, Failure> {
        let mut request = self
            .http
            .request(method, format!("{node}{ROOT}{path}"))
            .bearer_auth(self.key.expose());
        if let Some(body) = body {
            request = request.json(body);
        }
        let response = request.send().await.map_err(|error| Failure::Retryable {
            maybe_executed: !error.is_connect() && !error.is_builder(),
            error: AttemptError::Http(error.without_url()),
        })?;
        read_response(response).await
    }
}

async fn read_response<T: DeserializeOwned>(response: Response) -> Result<T, Failure> {
    let status = response.status();
    let interrupted = |error: reqwest::Error| Failure::Retryable {
        error: AttemptError::Http(error.without_url()),
        maybe_executed: true,
    };
    let bytes = response.bytes().await.map_err(interrupted)?;
    let unexpected_body = || Failure::Retryable {
        error: AttemptError::UnexpectedBody(status),
        maybe_executed: true,
    };
    if status.is_success() {
        return serde_json::from_slice(&bytes).map_err(|_| unexpected_body());
    }
    let refusal: Box<Refusal> = serde_json::from_slice(&bytes).map_err(|_| unexpected_body())?;
    Err(match status {
        StatusCode::CONFLICT => Failure::Final(Error::Conflict(refusal)),
        status if status.is_client_error() => Failure::Final(Error::Refused { status, refusal }),
        _ => Failure::Retryable {
            maybe_executed: refusal.error.ran != Ran::No,
            error: AttemptError::Unavailable(refusal),
        },
    })
}

/// Base URLs of the nodes in flags or, without flags, in `SARDINECTL_NODE`.
fn node_urls(flags: Vec<String>) -> Vec<String> {
    let given = match flags.is_empty() {
        true => std::env::var("SARDINECTL_NODE").unwrap_or_default(),
        false => flags.join(","),
    };
    let nodes = given.split(',').map(str::trim);
    nodes
        .filter(|node| !node.is_empty())
        .map(|node| match node.contains("://") {
            true => node.trim_end_matches('/').to_owned(),
            false => format!("http://{}", node.trim_end_matches('/')),
        })
        .collect()
}

//! Calls to nodes, tried in turn.

use crate::error::{Attempt, AttemptFault, Error};
use crate::options::Connection;
use contract::operator::{Ran, Refusal};
use reqwest::{Method, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use settings::Secret;
use std::time::Duration;

/// Root of the operators' routes.
const ROOT: &str = "/operator/v1";

/// Rounds over all nodes before a call is given up.
const ROUNDS: usize = 3;

/// Pause before the next round over all nodes.
const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// A client of the fleet.
pub struct Client {
    http: reqwest::Client,
    nodes: Vec<String>,
    key: Secret,
}

/// Why one node gave no result.
enum Failure {
    /// The next node may be asked; `sent` says whether the call may have taken effect.
    Next { fault: AttemptFault, sent: bool },
    /// The answer is final.
    Final(Error),
}

/// Attempts without a result.
struct Attempts {
    attempts: Vec<Attempt>,
    sent: bool,
}

impl Client {
    /// A client from flags and environment.
    pub fn new(connection: Connection) -> Result<Self, Error> {
        let nodes = nodes(connection.node);
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

    /// The same client for one node only.
    pub fn only(&self, node: &str) -> Self {
        Self {
            http: self.http.clone(),
            nodes: vec![node.trim_end_matches('/').to_owned()],
            key: self.key.clone(),
        }
    }

    /// Reads from the first node that answers.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let result = self.call(Method::GET, path, None::<&()>).await;
        result.map_err(|failure| match failure {
            Ok(error) => error,
            Err(attempts) => Error::Unreachable(attempts.attempts),
        })
    }

    /// Sends a body that does no harm when it arrives twice; `change` names it if its outcome stays unknown.
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
                sent: true,
            }) => Error::Unknown {
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
        let mut maybe = false;
        for round in 0..ROUNDS {
            if round > 0 {
                tokio::time::sleep(ROUND_PAUSE).await;
            }
            attempts.clear();
            for node in &self.nodes {
                match self.attempt(node, method.clone(), path, body).await {
                    Ok(value) => return Ok(value),
                    Err(Failure::Final(error)) => return Err(Ok(error)),
                    Err(Failure::Next { fault, sent }) => {
                        maybe |= sent;
                        let node = node.clone();
                        attempts.push(Attempt { node, fault });
                    }
                }
            }
        }
        Err(Err(Attempts {
            attempts,
            sent: maybe,
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
        let response = request.send().await.map_err(|error| Failure::Next {
            sent: !error.is_connect() && !error.is_builder(),
            fault: AttemptFault::Http(error.without_url()),
        })?;
        read(response).await
    }
}

async fn read<T: DeserializeOwned>(response: Response) -> Result<T, Failure> {
    let status = response.status();
    let lost = |error: reqwest::Error| Failure::Next {
        fault: AttemptFault::Http(error.without_url()),
        sent: true,
    };
    let bytes = response.bytes().await.map_err(lost)?;
    let foreign = || Failure::Next {
        fault: AttemptFault::Body(status),
        sent: true,
    };
    if status.is_success() {
        return serde_json::from_slice(&bytes).map_err(|_| foreign());
    }
    let refusal: Box<Refusal> = serde_json::from_slice(&bytes).map_err(|_| foreign())?;
    Err(match status {
        StatusCode::CONFLICT => Failure::Final(Error::Conflict(refusal)),
        status if status.is_client_error() => Failure::Final(Error::Refused { status, refusal }),
        _ => Failure::Next {
            sent: refusal.error.ran != Ran::No,
            fault: AttemptFault::Busy(refusal),
        },
    })
}

fn nodes(flags: Vec<String>) -> Vec<String> {
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

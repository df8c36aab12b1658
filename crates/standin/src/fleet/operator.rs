//! An operator that writes down what it changes.

use super::Log;
use super::node::OPERATOR_KEY;
use crate::Error;
use crate::history::{Change, Intent, Reading};
use crate::serve::unix_ms;
use contract::{Object, ObjectKey};
use reqwest::Client;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(10);
const ASK_PAUSE: Duration = Duration::from_millis(50);

/// One edit: an object to put, or a key to remove.
#[derive(Clone, Debug)]
pub enum Edit {
    /// Puts an object.
    Put(Object),
    /// Removes what stands under a key.
    Remove(ObjectKey),
}

/// An operator.
#[derive(Clone, Debug)]
pub struct Operator {
    client: Client,
    log: Arc<Log>,
}

impl Operator {
    /// An operator that writes into a log.
    pub fn new(log: Arc<Log>) -> Self {
        let client = Client::builder().timeout(TIMEOUT).build();
        let client = client.unwrap_or_default();
        Self { client, log }
    }

    /// Sends a change to a node and writes down what came of it.
    pub async fn change(
        &self,
        url: &str,
        id: &str,
        base: Option<u64>,
        edits: Vec<Edit>,
        intent: Intent,
    ) -> Change {
        let change = Change {
            id: id.to_owned(),
            intent,
            sent_ms: unix_ms(),
            accepted_ms: None,
            in_force_ms: None,
            revision: None,
            rejected: false,
        };
        self.log.change(change.clone());
        self.send(url, change, base, &edits).await
    }

    /// Sends a change again under its id, since its answer was lost.
    pub async fn repeat(&self, url: &str, change: &Change, edits: Vec<Edit>) -> Change {
        self.send(url, change.clone(), None, &edits).await
    }

    async fn send(
        &self,
        url: &str,
        mut change: Change,
        base: Option<u64>,
        edits: &[Edit],
    ) -> Change {
        let entries: Vec<Value> = edits.iter().map(Edit::entry).collect();
        let mut body = json!({ "change": change.id, "entries": entries });
        if let Some(base) = base {
            body["base"] = base.into();
        }
        let url = format!("{url}/operator/v1/changes");
        let call = self.client.post(url).bearer_auth(OPERATOR_KEY).json(&body);
        if let Ok((status, reply)) = send(call).await {
            change.read(status, &reply);
        }
        self.log.settle(&change);
        change
    }

    /// Asks until a change is in force, or until the limit.
    pub async fn wait(&self, url: &str, change: &Change, limit: Duration) -> Result<Change, Error> {
        let mut change = change.clone();
        let url = format!("{url}/operator/v1/changes/{}", change.id);
        let asking = async {
            while change.in_force_ms.is_none() {
                let call = self.client.get(&url).bearer_auth(OPERATOR_KEY);
                if let Ok((status, reply)) = send(call).await {
                    change.read(status, &reply);
                }
                tokio::time::sleep(ASK_PAUSE).await;
            }
        };
        let in_time = tokio::time::timeout(limit, asking).await;
        in_time.map_err(|_| Error::Timeout("change in force"))?;
        self.log.settle(&change);
        Ok(change)
    }

    /// A node's own word on its configuration.
    pub async fn read(&self, name: &str, url: &str) -> Result<Reading, Error> {
        let at_ms = unix_ms();
        let call = self.client.get(format!("{url}/operator/v1/status"));
        let (_, status) = send(call.bearer_auth(OPERATOR_KEY)).await?;
        Ok(Reading {
            node: name.to_owned(),
            incarnation: status["incarnation"].as_u64().unwrap_or_default(),
            at_ms,
            revision: status["revision"].as_u64().unwrap_or_default(),
            serving: status["serving"].as_bool().unwrap_or_default(),
        })
    }
}

impl Edit {
    /// Key of the object.
    pub fn key(&self) -> ObjectKey {
        match self {
            Self::Put(object) => object.key(),
            Self::Remove(key) => key.clone(),
        }
    }

    fn entry(&self) -> Value {
        match self {
            Self::Put(object) => json!({ "key": object.key(), "object": object }),
            Self::Remove(key) => json!({ "key": key }),
        }
    }
}

impl Change {
    /// Takes over what a node says of the change.
    fn read(&mut self, status: u16, reply: &Value) {
        let now = unix_ms();
        if status >= 400 {
            self.rejected = reply["error"]["ran"] == "no";
            return;
        }
        self.revision = reply["revision"].as_u64().or(self.revision);
        let state = reply["state"].as_str().unwrap_or_default();
        if matches!(state, "accepted" | "in_force") {
            self.accepted_ms = self.accepted_ms.or(Some(now));
        }
        if state == "in_force" {
            self.in_force_ms = self.in_force_ms.or(Some(now));
        }
    }
}

async fn send(call: reqwest::RequestBuilder) -> Result<(u16, Value), Error> {
    let response = call.send().await?;
    let status = response.status().as_u16();
    Ok((status, response.json().await.unwrap_or_default()))
}

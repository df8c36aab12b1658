//! An entry of the VM list.

use serde::{Deserialize, Serialize};

/// A group of addresses with the same labels.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// Addresses, `ip:port`.
    pub targets: Vec<String>,
    /// Description of the server at these addresses.
    pub labels: Labels,
}

/// Description of the server that runs on a VM.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Labels {
    /// `engine`, `service` or `entry`.
    pub kind: String,
    /// Availability zone.
    pub zone: String,
    /// `live` or `leaving`.
    pub state: String,
    /// Model, for an engine.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// Model version, for an engine.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// Service name, for a plain service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Node name, for an entry VM.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub node: Option<String>,
}

impl Target {
    /// Creates a live entry for an engine that serves a version of a model.
    ///
    /// ```
    /// let target = standin::vms::Target::engine("127.0.0.1:9001", "a", "small", "1");
    /// assert_eq!(target.labels.state, "live");
    /// ```
    pub fn engine(address: &str, zone: &str, model: &str, version: &str) -> Self {
        let mut target = Self::new(address, "engine", zone);
        target.labels.model = Some(model.to_owned());
        target.labels.version = Some(version.to_owned());
        target
    }

    /// Creates a live entry for a server of a plain service.
    pub fn service(address: &str, zone: &str, service: &str) -> Self {
        let mut target = Self::new(address, "service", zone);
        target.labels.service = Some(service.to_owned());
        target
    }

    /// Creates a live entry for an entry VM, on which a node runs.
    pub fn entry(address: &str, zone: &str, node: &str) -> Self {
        let mut target = Self::new(address, "entry", zone);
        target.labels.node = Some(node.to_owned());
        target
    }

    fn new(address: &str, kind: &str, zone: &str) -> Self {
        Self {
            targets: vec![address.to_owned()],
            labels: Labels {
                kind: kind.to_owned(),
                zone: zone.to_owned(),
                state: "live".to_owned(),
                ..Labels::default()
            },
        }
    }
}

//! Target groups in the format of Prometheus HTTP service discovery.

use super::{Kind, State, Vm};
use serde::Deserialize;
use std::collections::BTreeMap;

/// Targets that have the same labels.
#[derive(Debug, Deserialize)]
pub(super) struct Group {
    targets: Vec<String>,
    #[serde(default)]
    labels: BTreeMap<String, String>,
}

impl Group {
    /// The VMs of the group; empty if their kind is not used by this system.
    pub(super) fn vms(self) -> Vec<Vm> {
        let label = |name: &str| self.labels.get(name).cloned();
        let kind = match label("kind").as_deref() {
            Some("engine") => Kind::Engine,
            Some("service") => Kind::Service,
            Some("entry") => Kind::Node,
            _ => return Vec::new(),
        };
        let state = match label("state").as_deref() {
            Some("leaving") => State::Stopping,
            _ => State::Running,
        };
        let vm = |address: &String| Vm {
            address: address.clone(),
            kind,
            zone: label("zone").unwrap_or_default(),
            state,
            model: label("model"),
            version: label("version"),
            service: label("service"),
            node: label("node"),
        };
        self.targets.iter().map(vm).collect()
    }
}

//! One VM.

/// What runs on a VM.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Kind {
    /// A model engine.
    Engine,
    /// A node of this system.
    Node,
    /// A plain service.
    Service,
}

/// What the platform knows of a VM's life.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum State {
    /// It is to stop soon.
    Stopping,
    /// It runs.
    Running,
}

/// A VM of the list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Vm {
    /// Address, `ip:port`.
    pub address: String,
    /// What runs on it.
    pub kind: Kind,
    /// Availability zone.
    pub zone: String,
    /// Whether it is leaving.
    pub state: State,
    /// Model of an engine.
    pub model: Option<String>,
    /// Version of an engine's model.
    pub version: Option<String>,
    /// Name of a plain service.
    pub service: Option<String>,
    /// Name of a node.
    pub node: Option<String>,
}

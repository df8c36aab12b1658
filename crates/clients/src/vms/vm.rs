//! VMs of the platform.

/// What runs on a VM.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Kind {
    /// A backend server that runs a model engine.
    Engine,
    /// A node of this system.
    Node,
    /// A backend server that runs a plain service.
    Service,
}

/// Lifecycle state of a VM, as the platform reports it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum State {
    /// The VM will be stopped soon.
    Stopping,
    /// The VM runs.
    Running,
}

/// One VM of the list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Vm {
    /// Address, `ip:port`.
    pub address: String,
    /// What runs on the VM.
    pub kind: Kind,
    /// Availability zone.
    pub zone: String,
    /// Lifecycle state.
    pub state: State,
    /// Model that the VM's engine serves.
    pub model: Option<String>,
    /// Version of that model.
    pub version: Option<String>,
    /// Name of the VM's plain service.
    pub service: Option<String>,
    /// Name of the node that runs on the VM.
    pub node: Option<String>,
}

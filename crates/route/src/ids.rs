//! Identifiers of a site's objects.

/// Name of a node, unique among the running VMs.
pub type NodeName = String;
/// Name of a service.
pub type ServiceName = String;
/// Id of a backend server, assigned at each start.
pub type ServerId = String;
/// Name of an availability zone.
pub type Zone = String;
/// Version of a backend server's software.
pub type Version = String;
/// Name of a model.
pub type Model = String;
/// Revision of the site's configuration; a greater one is newer.
pub type Revision = u64;

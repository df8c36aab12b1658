//! Type aliases for identifiers, and the hash map and set used throughout the workspace.

use rustc_hash::FxBuildHasher;
use std::collections::{HashMap, HashSet};

/// Hash map with a fast, non-cryptographic hasher.
pub type Map<K, V> = HashMap<K, V, FxBuildHasher>;
/// Hash set with a fast, non-cryptographic hasher.
pub type Set<K> = HashSet<K, FxBuildHasher>;

/// Name of a customer.
pub type CustomerId = String;
/// Name of a model.
pub type ModelId = String;
/// Name of a model version.
pub type VersionId = String;
/// Name of a task in a contract.
pub type TaskId = String;
/// Name of a plain service, as opposed to a model.
pub type ServiceId = String;
/// Name of an availability zone.
pub type ZoneId = String;
/// Name of a node.
pub type NodeId = String;
/// Number that increases with each start of a node.
pub type Incarnation = u64;
/// Revision of the configuration; increases by one with each change.
pub type Revision = u64;
/// Identifier of a change, chosen by its author.
pub type ChangeId = String;
/// Key of an object in the configuration, `kind/name`.
pub type ObjectKey = String;
/// Address of a backend server, `ip:port`.
pub type BackendId = String;
/// Amount of money in millionths of a currency unit.
pub type Micros = u64;

//! Names of things, and the map that is used throughout.

use rustc_hash::FxBuildHasher;
use std::collections::{HashMap, HashSet};

/// Hash map with a fast hasher.
pub type Map<K, V> = HashMap<K, V, FxBuildHasher>;
/// Hash set with a fast hasher.
pub type Set<K> = HashSet<K, FxBuildHasher>;

/// Name of a customer.
pub type CustomerId = String;
/// Name of a model.
pub type ModelId = String;
/// Name of a version of a model.
pub type VersionId = String;
/// Name of a task in a contract.
pub type TaskId = String;
/// Name of a plain service.
pub type ServiceId = String;
/// Name of an availability zone.
pub type ZoneId = String;
/// Name of a node.
pub type NodeId = String;
/// Number that grows with each start of a node.
pub type Incarnation = u64;
/// Position in the history of the configuration; it only grows.
pub type Revision = u64;
/// Name of a change, chosen by whoever asks for it.
pub type ChangeId = String;
/// Key of an object in the configuration, `kind/name`.
pub type ObjectKey = String;
/// Address of a backend server, `ip:port`.
pub type BackendId = String;
/// Money in micro-units.
pub type Micros = u64;

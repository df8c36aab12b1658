//! A version that may answer a request.

use contract::{ModelId, Version, VersionId};

/// A version that the contract allows.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Model.
    pub model: ModelId,
    /// Version.
    pub version: VersionId,
    /// Prices and limits.
    pub spec: Version,
}

impl Candidate {
    /// Name under which engines serve the version.
    pub fn served(&self) -> String {
        format!("{}@{}", self.model, self.version)
    }
}

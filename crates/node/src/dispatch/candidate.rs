//! A version that may answer a request.

use contract::{ModelId, Version, VersionId};

/// A version that may answer a request.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Name of the model.
    pub model: ModelId,
    /// Name of the version.
    pub version: VersionId,
    /// Prices and limits of the version.
    pub spec: Version,
}

impl Candidate {
    /// Name under which engines serve the version: `model@version`.
    pub fn served_name(&self) -> String {
        format!("{}@{}", self.model, self.version)
    }
}

//! What the operator asks for.

use crate::{ServiceName, Version};
use std::time::Duration;

/// A roll-out that the operator asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Spec {
    /// The service.
    pub service: ServiceName,
    /// The new version.
    pub version: Version,
    /// Time from the order to the end of the roll-out.
    pub duration: Duration,
}

//! Specification of a roll-out.

use crate::{ServiceName, Version};
use std::time::Duration;

/// A roll-out that the operator requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Spec {
    /// The service.
    pub service: ServiceName,
    /// The new version.
    pub version: Version,
    /// Time from the request to the end of the roll-out.
    pub duration: Duration,
}

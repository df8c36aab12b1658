//! Where a request would go now.

use crate::pool::Explanation;
use crate::{Model, NodeName};
use serde::{Deserialize, Serialize};

/// Where a request would go now, as one node sees it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Reply {
    /// The node.
    pub node: NodeName,
    /// Name of the route that takes the request.
    pub route: String,
    /// Revision of the configuration.
    pub revision: u64,
    /// Age of the list of backend servers, in milliseconds.
    pub list_age_ms: u64,
    /// The model that is asked, where the node chooses it.
    pub model: Option<Model>,
    /// Explanations by service, each with the service's weight among those of the route.
    pub services: Vec<(u32, Explanation)>,
}

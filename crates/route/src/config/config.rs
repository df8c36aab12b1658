//! The whole configuration.

use super::{Customer, Limits, Route, Service};
use crate::{Revision, ServiceName};
use contract::Map;
use std::sync::Arc;

/// The whole configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Revision; it increases with each change, but not always by one.
    pub revision: Revision,
    /// Routes in the operator's order.
    pub routes: Vec<Arc<Route>>,
    /// Services by name.
    pub services: Map<ServiceName, Service>,
    /// Customers with their API keys. Requests need no key if there are none.
    pub customers: Vec<Customer>,
    /// Limits on requests and connections.
    pub limits: Limits,
}

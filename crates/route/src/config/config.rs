//! A whole configuration.

use super::{Customer, Limits, Route, Service};
use crate::{Revision, ServiceName};
use contract::Map;
use std::sync::Arc;

/// A whole configuration, as of one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Its revision; revisions only grow, in uneven steps.
    pub revision: Revision,
    /// Routes in the operator's order.
    pub routes: Vec<Arc<Route>>,
    /// Services by name.
    pub services: Map<ServiceName, Service>,
    /// Customers with their keys; none when requests need no key.
    pub customers: Vec<Customer>,
    /// What callers may send.
    pub limits: Limits,
}

//! The whole configuration.

use super::{Customer, Limits, Price, Route, Service};
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

impl Config {
    /// Returns the prices of a service's models; none for a plain service.
    ///
    /// ```
    /// assert!(route::config::Config::default().prices("models").is_empty());
    /// ```
    pub fn prices(&self, service: &str) -> &[Price] {
        let engine = self
            .services
            .get(service)
            .and_then(|service| service.engine.as_ref());
        engine.map_or(&[], |engine| &engine.prices)
    }
}

//! Lookup of routes by host and path, and of customers by API key.

use super::Error;
use crate::config::{Config, Customer, Route};
use contract::Map;
use std::sync::Arc;

/// A configuration with indexes for routing requests.
#[derive(Clone, Debug, Default)]
pub struct Table {
    config: Arc<Config>,
    /// Indexes of the routes of each host, the longest prefix first.
    hosts: Map<String, Vec<usize>>,
    /// Index of the customer of each API key.
    keys: Map<String, usize>,
}

impl Table {
    /// Builds the indexes of a configuration.
    ///
    /// ```
    /// let table = route::table::Table::new(Default::default());
    /// assert!(table.route("example", "/a/").is_err());
    /// ```
    pub fn new(config: Config) -> Self {
        let mut hosts: Map<String, Vec<usize>> = Map::default();
        for (index, route) in config.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(index);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|&index| std::cmp::Reverse(config.routes[index].prefix.len()));
        }
        let mut keys = Map::default();
        for (index, customer) in config.customers.iter().enumerate() {
            for key in &customer.keys {
                keys.insert(key.clone(), index);
            }
        }
        Self {
            config: Arc::new(config),
            hosts,
            keys,
        }
    }

    /// Returns the configuration.
    ///
    /// ```
    /// assert_eq!(route::table::Table::default().config().revision, 0);
    /// ```
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Returns the route of the host whose prefix is the longest that matches the path.
    ///
    /// ```
    /// use route::config::{Config, Route};
    /// let route = |prefix: &str| Route { host: "h".into(), prefix: prefix.into(), ..Route::default() };
    /// let config = Config { routes: vec![route("/a/").into(), route("/a/b/").into()], ..Config::default() };
    /// let table = route::table::Table::new(config);
    /// assert_eq!(table.route("H:80", "/a/b/c").unwrap().prefix, "/a/b/");
    /// assert!(table.route("h", "/b/").is_err());
    /// ```
    pub fn route(&self, host: &str, path: &str) -> Result<&Arc<Route>, Error> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let routes = self.hosts.get(&host).ok_or(Error::NoRoute)?;
        routes
            .iter()
            .map(|&index| &self.config.routes[index])
            .find(|route| path.starts_with(&route.prefix))
            .ok_or(Error::NoRoute)
    }

    /// Returns the customer that sent a request with this API key, or `None` if the route needs no
    /// key.
    ///
    /// ```
    /// use route::{config::{Config, Customer, Route}, table::{Error, Table}};
    /// let customer = Customer { name: "c".into(), keys: vec!["k".into()], priority: None };
    /// let table = Table::new(Config { customers: vec![customer], ..Config::default() });
    /// let route = Route::default();
    /// assert_eq!(table.customer(&route, Some("k")).unwrap().unwrap().name, "c");
    /// assert_eq!(table.customer(&route, Some("x")), Err(Error::InvalidKey));
    /// ```
    pub fn customer(&self, route: &Route, key: Option<&str>) -> Result<Option<&Customer>, Error> {
        if route.anonymous || self.config.customers.is_empty() {
            return Ok(None);
        }
        let index = key
            .and_then(|key| self.keys.get(key))
            .ok_or(Error::InvalidKey)?;
        Ok(Some(&self.config.customers[*index]))
    }
}

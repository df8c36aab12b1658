//! Lookup of customers by bearer key.

use contract::{Config, CustomerId, Key, Map, Revision};
use std::sync::{Arc, PoisonError, RwLock};

/// Index of customers by key digest, rebuilt when the configuration changes.
#[derive(Debug, Default)]
pub struct Keys {
    index: RwLock<Arc<Index>>,
}

#[derive(Debug, Default)]
struct Index {
    revision: Revision,
    customers: Map<String, (Key, CustomerId)>,
}

impl Keys {
    /// Returns the customer of a bearer key. The digests are compared in constant time.
    ///
    /// ```
    /// let keys = node::app::Keys::default();
    /// assert!(keys.customer(&contract::Config::default(), "secret").is_none());
    /// ```
    pub fn customer(&self, config: &Config, secret: &str) -> Option<CustomerId> {
        let index = self.index(config);
        let (key, customer) = index.customers.get(&Key::digest(secret))?;
        key.matches(secret).then(|| customer.clone())
    }

    fn index(&self, config: &Config) -> Arc<Index> {
        let current = Arc::clone(&self.index.read().unwrap_or_else(PoisonError::into_inner));
        if current.revision == config.revision() {
            return current;
        }
        let rebuilt = Arc::new(Index::build(config));
        let mut index = self.index.write().unwrap_or_else(PoisonError::into_inner);
        *index = Arc::clone(&rebuilt);
        rebuilt
    }
}

impl Index {
    fn build(config: &Config) -> Self {
        let customers = config
            .contracts()
            .flat_map(|contract| {
                contract.keys.iter().map(|key| {
                    let entry = (key.clone(), contract.customer.clone());
                    (key.sha256.clone(), entry)
                })
            })
            .collect();
        Self {
            revision: config.revision(),
            customers,
        }
    }
}

//! One customer.

/// A customer and its API keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Customer {
    /// Name of the customer.
    pub name: String,
    /// API keys that identify the customer.
    pub keys: Vec<String>,
    /// Priority of its requests, if it overrides the one of the route.
    pub priority: Option<u8>,
}

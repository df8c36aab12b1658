//! One customer.

/// A customer with the keys that name it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Customer {
    /// Its name.
    pub name: String,
    /// Keys that its requests carry.
    pub keys: Vec<String>,
    /// Urgency of its requests in place of the route's.
    pub priority: Option<u8>,
}

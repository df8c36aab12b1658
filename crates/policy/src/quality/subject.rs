//! What a rating is about.

/// A version at a task of a customer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Subject<'a> {
    /// Model that answered.
    pub model: &'a str,
    /// Version that answered.
    pub version: &'a str,
    /// Task of the request.
    pub task: &'a str,
    /// Customer that asked.
    pub customer: &'a str,
}

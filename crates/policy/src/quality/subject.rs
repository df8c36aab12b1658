//! Subject of a rating.

/// A version, with the task and customer that it answered.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Subject<'a> {
    /// Model that answered.
    pub model: &'a str,
    /// Version that answered.
    pub version: &'a str,
    /// Task of the request.
    pub task: &'a str,
    /// Customer that sent the request.
    pub customer: &'a str,
}

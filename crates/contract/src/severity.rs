//! Severity of violations.

/// Severity of a violation.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Severity {
    /// The change is rejected.
    Error,
    /// The change is applied, and the warning is returned to its author.
    Warning,
}

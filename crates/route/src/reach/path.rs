//! State of the direct path.

/// State of this node's direct path to backend servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Path {
    /// The last connect succeeded, or a single backend server has failed since.
    Sound,
    /// Connects to several backend servers have failed since the last success.
    Doubtful,
    /// No connect succeeds.
    Lost,
}

//! How a roll-out stands.

/// How a roll-out stands.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Status {
    /// The new version is on trial, or takes over.
    #[default]
    Running,
    /// The new version serves alone; the servers of the old one stop at once.
    Completed,
    /// The new version was found bad and gets nothing more.
    RolledBack,
}

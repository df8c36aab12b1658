//! Status of a roll-out.

/// Status of a roll-out.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Status {
    /// The new version is on trial or is taking over.
    #[default]
    Running,
    /// Only the new version gets requests; the servers of the old one stop immediately.
    Completed,
    /// The new version was judged bad and gets no more requests.
    RolledBack,
}

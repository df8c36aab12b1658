//! State that a backend server reports.

/// Whether a backend server accepts new work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum State {
    /// It accepts new work.
    #[default]
    Ready,
    /// It finishes its open requests and shuts down.
    Leaving,
}

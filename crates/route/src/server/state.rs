//! What a backend server says of itself.

/// Whether a backend server takes new work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum State {
    /// It does.
    #[default]
    Ready,
    /// It finishes what it has and leaves.
    Leaving,
}

//! What one voter is known to have applied.

use contract::Revision;
use std::time::Instant;

/// Latest known progress of a voter.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Progress {
    /// Greatest revision that it is known to have applied.
    pub revision: Revision,
    /// Latest time at which it is known to have been running.
    pub alive_at: Option<Instant>,
}

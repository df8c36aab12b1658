//! Bounds of run records.

/// Bounds of run records.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Largest body of an answer that is kept, in bytes.
    pub body_limit_bytes: usize,
    /// Times that a claim whose answer is lost is written again.
    pub claim_attempts: u32,
    /// Sweeps that look for a claim whose write was lost before it is given up.
    pub orphan_sweeps: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            body_limit_bytes: 64 * 1024,
            claim_attempts: 2,
            orphan_sweeps: 60,
        }
    }
}

//! Settings of run records.

/// Size and retry limits of run records.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Maximum size of a stored answer body in bytes; larger bodies are not stored.
    pub body_limit_bytes: usize,
    /// Maximum number of attempts to write a claim whose write was lost.
    pub claim_attempts: u32,
    /// Number of sweeps that look for the row of an orphaned claim before the claim is forgotten.
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

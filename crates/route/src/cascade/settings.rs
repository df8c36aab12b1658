//! Settings of the cascade.

/// Settings of the cascade.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Confidence from which an answer is accepted.
    pub min_confidence: f64,
    /// The same threshold on fully contended engines.
    pub min_confidence_contended: f64,
    /// Range of contention over which the threshold falls. Contention is the duration of an engine's
    /// step in relation to that of an idle engine.
    pub contention_range: (f64, f64),
    /// Whether a model whose answer would begin after the target latency is left out.
    pub target_aware: bool,
    /// Whether models between the smallest and the largest may be asked.
    pub intermediate: bool,
    /// Whether the chances of larger models are learned from their answers. If not, the assumed
    /// ones are used.
    pub learning: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            min_confidence: 50.0,
            min_confidence_contended: 0.0,
            contention_range: (3.5, 7.0),
            target_aware: true,
            intermediate: true,
            learning: true,
        }
    }
}

//! What the proxy does to bytes.

use std::time::Duration;

/// Faults of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Impairment {
    /// Delay of each piece.
    pub delay: Duration,
    /// Additional delay of up to this much, drawn by seed.
    pub jitter: Duration,
    /// Pieces are kept for good while the connection stays open.
    pub silent: bool,
    /// Pieces are cut to at most this many bytes.
    pub split: Option<usize>,
    /// Bytes a second.
    pub rate: Option<u64>,
    /// The connection is cut in place of delivering the next piece.
    pub cut: bool,
}

/// Faults of the proxy as a whole.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// From the side that connects.
    pub up: Impairment,
    /// Back to the side that connects.
    pub down: Impairment,
    /// The port isn't listened on.
    pub refuse: bool,
}

impl Faults {
    /// Both directions are silent: a link that lost everything but its sockets.
    ///
    /// ```
    /// assert!(standin::proxy::Faults::black_hole().down.silent);
    /// ```
    pub fn black_hole() -> Self {
        let silent = Impairment {
            silent: true,
            ..Impairment::default()
        };
        Self {
            up: silent,
            down: silent,
            refuse: false,
        }
    }

    /// Requests go through, and the connection is cut in place of each answer.
    pub fn lose_answers() -> Self {
        let down = Impairment {
            cut: true,
            ..Impairment::default()
        };
        Self {
            down,
            ..Self::default()
        }
    }

    /// The same delay both ways.
    pub fn delay(delay: Duration) -> Self {
        let impairment = Impairment {
            delay,
            ..Impairment::default()
        };
        Self {
            up: impairment,
            down: impairment,
            refuse: false,
        }
    }

    /// No one listens.
    pub fn refused() -> Self {
        Self {
            refuse: true,
            ..Self::default()
        }
    }
}

//! Faults that the proxy applies to connections.

use std::time::Duration;

/// Faults of one direction of a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Impairment {
    /// Delay of each chunk.
    pub delay: Duration,
    /// Maximum of an additional random delay, drawn from the seed of the proxy.
    pub jitter: Duration,
    /// Data is withheld while this is set; the connection stays open.
    pub silent: bool,
    /// Maximum chunk size in bytes.
    pub split: Option<usize>,
    /// Maximum throughput in bytes per second.
    pub rate: Option<u64>,
    /// The connection is reset instead of forwarding the next chunk.
    pub cut: bool,
}

/// Faults of a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Impairment from the client to the target.
    pub up: Impairment,
    /// Impairment from the target to the client.
    pub down: Impairment,
    /// The proxy closes its port, so that connections are refused.
    pub refuse: bool,
    /// The proxy closes its port, and open connections live on.
    pub refuse_new: bool,
    /// New connections are neither accepted nor refused, as if their packets were lost.
    pub hang_new: bool,
}

impl Faults {
    /// Withholds all data in both directions while the connections stay open.
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
            ..Self::default()
        }
    }

    /// Loses all packets: open connections are silent, and new ones are never established.
    pub fn lose_packets() -> Self {
        Self {
            hang_new: true,
            ..Self::black_hole()
        }
    }

    /// Resets each connection instead of forwarding the next chunk in either direction.
    pub fn reset() -> Self {
        let cut = Impairment {
            cut: true,
            ..Impairment::default()
        };
        Self {
            up: cut,
            down: cut,
            ..Self::default()
        }
    }

    /// Refuses new connections; open ones live on.
    pub fn refused_new() -> Self {
        Self {
            refuse_new: true,
            ..Self::default()
        }
    }

    /// Forwards requests, but resets the connection instead of forwarding the response.
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

    /// Delays both directions equally.
    pub fn delay(delay: Duration) -> Self {
        let impairment = Impairment {
            delay,
            ..Impairment::default()
        };
        Self {
            up: impairment,
            down: impairment,
            ..Self::default()
        }
    }

    /// Refuses connections.
    pub fn refused() -> Self {
        Self {
            refuse: true,
            ..Self::default()
        }
    }
}

//! Why a backend server gets no request at present.

use serde::{Deserialize, Serialize};

/// Why a backend server gets no request of this node at present.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Obstacle {
    /// It leaves, or its entry says that it isn't ready.
    Leaving,
    /// Its zone has been taken out.
    ZoneOut,
    /// Its version gets no requests.
    Version,
    /// Requests to it have failed.
    Quarantined,
    /// It has just reported that it has no capacity.
    Full,
    /// It has asked for a pause, or names a limit that is used up.
    Paused,
    /// Its slots and its queue are taken.
    Occupied,
    /// It is cold, and gets no more at once.
    Cold,
}

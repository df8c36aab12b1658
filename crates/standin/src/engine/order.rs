//! What a test can tell an engine while it runs.

use serde::{Deserialize, Serialize};

/// A change to a running engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Turns cold without a restart and without telling anyone.
    Cold,
    /// Falls over now.
    FallOver,
    /// Checks fencing numbers or ignores them.
    Fenced(bool),
    /// Refuses new requests, as one that is about to go.
    Leave,
    /// Takes new requests again.
    Return,
    /// Sets the share of good answers.
    Quality(f64),
    /// Multiplies all times.
    Slow(f64),
    /// Crashes on prompts with this text.
    Poison(Option<String>),
}

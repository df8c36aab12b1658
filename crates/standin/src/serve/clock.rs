//! Wall-clock time for records written by several processes.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the current time in milliseconds since the Unix epoch.
///
/// ```
/// assert!(standin::serve::unix_ms() > 0);
/// ```
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

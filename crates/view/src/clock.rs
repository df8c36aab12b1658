//! Ages on the wire and instants here.

use std::time::{Duration, Instant};

/// Unit of the ages in a touch frame.
const UNIT: Duration = Duration::from_millis(100);
/// Age that stands for never.
pub(crate) const NEVER: u8 = u8::MAX;

/// Milliseconds since an instant, rounded up so that an age is never understated.
pub(crate) fn age_ms(since: Instant, now: Instant) -> u64 {
    now.saturating_duration_since(since).as_millis() as u64 + 1
}

/// Instant that lies an age back; none when the clock doesn't reach that far.
pub(crate) fn ago(from: Instant, age_ms: u64) -> Option<Instant> {
    from.checked_sub(Duration::from_millis(age_ms))
}

/// Units since an instant, rounded up.
pub(crate) fn age_units(since: Instant, now: Instant) -> u8 {
    let units = now.saturating_duration_since(since).as_millis() / UNIT.as_millis() + 1;
    u8::try_from(units).unwrap_or(NEVER)
}

/// Instant that lies some units back.
pub(crate) fn units_ago(from: Instant, units: u8) -> Option<Instant> {
    if units == NEVER {
        return None;
    }
    from.checked_sub(UNIT * u32::from(units))
}

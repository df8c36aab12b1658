//! Conversion between local instants and ages on the wire.

use std::time::{Duration, Instant};

/// Unit of ages in a touch frame.
const UNIT: Duration = Duration::from_millis(100);
/// Age that encodes "never".
pub(crate) const NEVER: u8 = u8::MAX;

/// Milliseconds since an instant, rounded up so that an age is never understated.
pub(crate) fn age_ms(since: Instant, now: Instant) -> u64 {
    now.saturating_duration_since(since).as_millis() as u64 + 1
}

/// The instant that lies `age_ms` before `from`; `None` if it can't be represented.
pub(crate) fn ago(from: Instant, age_ms: u64) -> Option<Instant> {
    from.checked_sub(Duration::from_millis(age_ms))
}

/// Age units since an instant, rounded up.
pub(crate) fn age_units(since: Instant, now: Instant) -> u8 {
    let units = now.saturating_duration_since(since).as_millis() / UNIT.as_millis() + 1;
    u8::try_from(units).unwrap_or(NEVER)
}

/// The instant that lies `units` before `from`; `None` for [`NEVER`].
pub(crate) fn units_ago(from: Instant, units: u8) -> Option<Instant> {
    if units == NEVER {
        return None;
    }
    from.checked_sub(UNIT * u32::from(units))
}

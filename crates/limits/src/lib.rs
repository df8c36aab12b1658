//! Slots, ramps, retry budgets and load shedding.

pub mod slot;
pub mod suspect;

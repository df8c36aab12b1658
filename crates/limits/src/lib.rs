//! Slots, ramps, retry budgets and load shedding.

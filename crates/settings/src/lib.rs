//! Settings from flags and environment.

//! `sardinectl` as a process against the operators' routes of a node.

mod fleet;
mod intents;
mod members;
mod refusals;
mod usage;

//! Runs `sardinectl` as a process against the operator API of a node.

mod fleet;
mod intents;
mod members;
mod refusals;
mod usage;

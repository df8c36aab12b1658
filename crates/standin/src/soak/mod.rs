//! A randomized fault soak: nodes as processes, faults from outside them, and checks of what
//! callers and backend servers see.

mod caller;
mod check;
mod fault;
mod plan;
mod soak;

pub use check::{Attempt, Broken, Kind, Ran, check};
pub use fault::Fault;
pub use plan::{Plan, Step};
pub use soak::{Report, Settings, run};

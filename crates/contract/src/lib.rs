//! Object types of the configuration (contracts, models, services and operator intents), with
//! reading from files, validation and diffs.

pub mod check;
mod config;
pub mod diff;
mod error;
pub mod file;
#[allow(dead_code, missing_docs)]
mod generated;
mod hash;
mod ids;
mod key;
mod object;
pub mod operator;
mod owner;
mod severity;
mod violation;

pub use config::{Config, Membership};
pub use error::Error;
pub use generated::{
    Access, Budget, Contract, Key, Member, Model, Object, Rollout, Route, Service, Task, Version,
    Withdrawal, Zone,
};
pub use hash::stable_hash;
pub use ids::*;
pub use owner::Owner;
pub use severity::Severity;
pub use violation::Violation;

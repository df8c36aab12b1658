//! Contracts, models, services and intents: the objects of the configuration.

mod config;
mod error;
#[allow(dead_code, missing_docs)]
mod generated;
mod ids;
mod key;
mod object;
mod owner;

pub use config::Config;
pub use error::Error;
pub use generated::{
    Budget, Contract, Key, Member, Model, Object, Rollout, Route, Service, Task, Version,
    Withdrawal, Zone,
};
pub use ids::*;
pub use owner::Owner;

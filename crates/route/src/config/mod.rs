//! The operator's configuration.

mod config;
mod customer;
mod kind;
mod limits;
mod route;
mod service;

pub use config::Config;
pub use customer::Customer;
pub use kind::Kind;
pub use limits::Limits;
pub use route::{Route, Share};
pub use service::{Engine, Price, Service};

//! Placement of requests: the backend servers, their load, and the choice among them.

mod baselines;
mod capacity;
mod departures;
mod estimator;
mod hedge;
mod limit;
mod limiter;
mod load;
mod naming;
mod pool;
mod query;
mod refusal;
mod regression;
mod rendezvous;
mod server;
mod settings;
mod share;

pub use baselines::{Baselines, Ratio, Stage};
pub use capacity::Capacity;
pub use departures::Departures;
pub use estimator::{Estimator, Speeds};
pub use hedge::hedge_pays;
pub use limit::Limit;
pub use limiter::Limiter;
pub use load::Load;
pub use naming::Naming;
pub use pool::{Pool, Prefill, Tag, load_of, tag};
pub use query::{NameHash, Query, Work, name_hash};
pub use refusal::Refusal;
pub use regression::{Prior, Regression};
pub use rendezvous::rank;
pub use server::{Outcome, Server};
pub use settings::Settings;
pub use share::{Rate, Share};

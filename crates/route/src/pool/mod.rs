//! Where a request runs: the backend servers, what is known of their load, and the choice.

mod capacity;
mod limiter;
mod refusal;
mod estimator;
mod regression;
mod load;
mod baselines;
mod pool;
mod query;
mod rendezvous;
mod server;
mod settings;

pub use capacity::Capacity;
pub use limiter::Limiter;
pub use refusal::Refusal;
pub use estimator::{Estimator, Speeds};
pub use regression::{Regression, Prior};
pub use load::Load;
pub use baselines::{Baselines, Ratio, Stage};
pub use pool::{Pool, Prefill, Tag, load_of, tag};
pub use query::{NameHash, Query, Work, name_hash};
pub use rendezvous::rank;
pub use server::{Outcome, Server};
pub use settings::Settings;

//! Concurrency slots of backend servers. The home node of a backend server grants them; all nodes
//! use them.

mod allocator;
mod backend;
mod grant;
mod handover;
mod holder;
mod home;
mod lease;
mod outcome;
mod permit;
mod ramp;
mod refusal;
mod rendezvous;
mod request;
mod server;
mod settings;

pub use grant::Grant;
pub use handover::{Charge, Handover};
pub use holder::Holder;
pub use home::Home;
pub use outcome::Outcome;
pub use permit::Permit;
pub use ramp::Ramp;
pub use refusal::Refusal;
pub use rendezvous::home_of;
pub use request::Request;
pub use server::Server;
pub use settings::Settings;

//! Slots of backend servers: granted by one home each, spent by all nodes.

mod book;
mod grant;
mod handover;
mod holder;
mod holding;
mod home;
mod lane;
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

//! Carries a request from its contract to a backend server and back.

mod account;
mod accumulator;
mod answer;
mod attempts;
mod candidate;
mod chat;
mod job;
mod leg;
mod place;
mod request;
mod service;
mod session;
mod stream;
mod target;

pub use accumulator::Accumulator;
pub use answer::{Answer, Receipt};
pub use candidate::Candidate;
pub use chat::chat;
pub use request::Request;
pub use service::{Invocation, service};
pub use session::{Session, Signer};
pub use stream::Stream;
pub use target::{Target, resolve};

//! Dispatch of requests: checks them against the contract, sends them to backend servers and returns
//! the answers.

mod account;
mod accumulator;
mod answer;
mod assignment;
mod attempts;
mod candidate;
mod chat;
mod job;
mod request;
mod search;
mod service;
mod session;
mod stage;
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

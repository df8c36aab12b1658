//! The way of a request from its caller to a backend server and back.

mod attempt;
mod event;
mod forward;
mod headers;
mod exchange;
mod plain;
mod refusal;
mod stream;

pub use forward::forward;

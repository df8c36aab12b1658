//! Forwards requests from callers to backend servers.

mod announcement;
mod attempt;
mod blocks;
mod buffer;
mod buffered;
mod collect;
mod escalate;
mod event;
mod exchange;
mod forward;
mod headers;
mod passthrough;
mod refusal;
mod stream;
mod wait;

pub use forward::forward;

//! Counters and latencies, served as text.

mod label;
mod metrics;
mod serve;

pub use label::{Call, Request, Send};
pub use metrics::Metrics;
pub use serve::serve;

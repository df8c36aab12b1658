//! Metrics of a node and the endpoint that serves them.

mod label;
mod metrics;
mod serve;

pub use label::{
    Announcement, Call, Confidence, Path, Request, Retry, Send, Service, Task, Tunnel, ZoneSend,
};
pub use metrics::Metrics;
pub use serve::serve;

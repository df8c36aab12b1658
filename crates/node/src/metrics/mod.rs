//! Metrics, sent as statsd datagrams.

mod meter;
mod metrics;
mod name;
mod report;

pub use meter::Meter;
pub use metrics::Metrics;
pub use name::{Counter, Gauge, Timer};
pub(crate) use report::run;

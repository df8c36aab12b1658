//! Admission control: which requests run now, wait or are refused.

mod flow;
mod queue;
mod request;
mod settings;
mod work;

pub use queue::{Decision, Dequeued, Queue};
pub use request::{Request, Ticket};
pub use settings::Settings;

//! Which requests run now, wait, or are refused.

mod order;
mod queue;
mod request;
mod settings;

pub use queue::{Next, Offer, Queue};
pub use request::{Request, Ticket};
pub use settings::Settings;

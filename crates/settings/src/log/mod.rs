//! Logger with numbered events, as text or as JSON lines.

mod bounded;
mod counts;
mod limits;
mod log;
mod queue;

pub use self::log::{Format, init, init_bounded};
pub use bounded::Bounded;
pub use counts::Counts;
pub use limits::Limits;
pub use queue::Queue;

//! Logger with numbered events, as text or as JSON lines.

mod drops;
mod limiter;
mod limits;
mod log;
mod queue;

pub use self::log::{Format, init, init_limited};
pub use drops::Drops;
pub use limiter::Limiter;
pub use limits::Limits;
pub use queue::Queue;

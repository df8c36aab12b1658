//! Logger with numbered events, as text or as JSON lines.

mod backlog;
mod drops;
mod flushing;
mod limiter;
mod limits;
mod log;
mod queue;

pub use self::log::{Format, init, init_limited};
pub use backlog::Backlog;
pub use drops::Drops;
pub use flushing::Flushing;
pub use limiter::Limiter;
pub use limits::Limits;
pub use queue::Queue;

//! Starting stand-ins as separate processes: engine settings on the command line and the startup
//! announcement.

mod announcement;
mod child;
mod engine;

pub use announcement::Announcement;
pub use child::start;
pub use engine::EngineSpec;

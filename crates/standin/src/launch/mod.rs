//! How stand-ins in processes of their own are described and announced.

mod announcement;
mod child;
mod engine;

pub use announcement::Announcement;
pub use child::start;
pub use engine::EngineSpec;

//! How stand-ins in processes of their own are described and announced.

mod announcement;
mod engine;

pub use announcement::Announcement;
pub use engine::EngineSpec;

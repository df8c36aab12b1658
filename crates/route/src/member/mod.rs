//! The nodes of the fleet, and which of them callers are sent to.

mod member;
mod members;

pub use member::Member;
pub use members::{Members, Settings};

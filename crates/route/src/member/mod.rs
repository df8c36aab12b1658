//! The nodes of the fleet, and which of them callers are sent to.

mod directory;
mod member;
mod members;

pub use directory::Question;
pub use member::Member;
pub use members::{Members, Settings};

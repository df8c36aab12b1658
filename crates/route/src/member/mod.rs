//! The nodes of the fleet, and which of them callers are sent to.

mod lookup;
mod member;
mod members;

pub use lookup::Lookup;
pub use member::Member;
pub use members::{Members, Settings};

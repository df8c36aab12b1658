//! Fleet membership, and the nodes whose addresses are given to callers.

mod lookup;
mod member;
mod members;

pub use lookup::Lookup;
pub use member::Member;
pub use members::{Members, Settings};

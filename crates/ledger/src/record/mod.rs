//! Run records, which ensure that a call that must not be repeated runs at most once.

mod claim;
mod key;
mod outcome;
mod permit;
mod records;
mod registry;
mod row;
mod settings;

pub use claim::{Answer, Claim};
pub use key::Key;
pub use outcome::Outcome;
pub use permit::Permit;
pub use records::Records;
pub use row::{Row, State};
pub use settings::Settings;

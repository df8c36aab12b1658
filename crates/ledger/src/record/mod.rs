//! Run records: a call that may not be repeated runs at most once.

mod claim;
mod key;
mod local;
mod records;
mod row;
mod settings;
mod outcome;
mod permit;

pub use claim::{Answer, Claim};
pub use key::Key;
pub use records::Records;
pub use row::{Row, State};
pub use settings::Settings;
pub use outcome::Outcome;
pub use permit::Permit;

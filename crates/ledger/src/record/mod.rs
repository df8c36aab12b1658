//! Run records: a call that may not be repeated runs at most once.

mod claim;
mod key;
mod local;
mod outcome;
mod permit;
mod records;
mod row;
mod settings;

pub use claim::{Answer, Claim};
pub use key::Key;
pub use outcome::Outcome;
pub use permit::Permit;
pub use records::Records;
pub use row::{Row, State};
pub use settings::Settings;

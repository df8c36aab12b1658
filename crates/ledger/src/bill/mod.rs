//! Bills: one per request, stored by the platform or by two peers before the request ends.

mod batch;
mod copies;
mod entry;
mod journal;
mod meter;
mod replica;
mod settings;

pub use batch::Batch;
pub use copies::{Ack, Copies};
pub use entry::Bill;
pub use journal::{Journal, Position};
pub use meter::{Charge, Meter};
pub use replica::Replica;
pub use settings::Settings;

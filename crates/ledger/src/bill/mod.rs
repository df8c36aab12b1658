//! Bills: one per request, stored by the platform or by two peers before the request ends.

mod ack;
mod batch;
mod charge;
mod copies;
mod entry;
mod journal;
mod meter;
mod position;
mod replica;
mod settings;

pub use ack::Ack;
pub use batch::Batch;
pub use charge::Charge;
pub use copies::Copies;
pub use entry::Bill;
pub use journal::Journal;
pub use meter::Meter;
pub use position::Position;
pub use replica::Replica;
pub use settings::Settings;

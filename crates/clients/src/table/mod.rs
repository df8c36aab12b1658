//! Client of the table service: rows with revisions and conditional writes, over the published
//! DynamoDB protocol.

mod client;
mod codec;
mod condition;
mod item;
mod memory;
mod range;
mod response;
mod settings;
mod store;
mod write;

pub use client::Client;
pub use condition::Condition;
pub use item::Item;
pub use memory::{Fault, Memory};
pub use range::Range;
pub use settings::Settings;
pub use store::Table;
pub use write::Write;

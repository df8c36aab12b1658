//! Links between nodes: one websocket for each pair, frames as CBOR.

mod error;
mod hub;
mod received;
mod settings;

pub use error::Error;
pub use hub::Hub;
pub use received::Received;
pub use settings::Settings;

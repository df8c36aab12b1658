//! Links between nodes: one WebSocket per pair of nodes, with frames in CBOR.

mod address;
mod dial;
mod error;
mod event;
mod handshake;
mod hub;
mod listen;
mod peer;
mod received;
mod relay;
mod settings;
mod socket;
mod table;

pub use error::Error;
pub use event::Event;
pub use hub::Hub;
pub use peer::Peer;
pub use received::Received;
pub use settings::Settings;

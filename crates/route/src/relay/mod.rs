//! Overlay network of the nodes: reports reach all nodes without a link between every two of them.
//!
//! Some nodes of each availability zone are relays. Every other node is attached to the relays of its
//! zone: it reports its own state to them and receives the state of the whole fleet. The relays of all
//! zones are linked to each other and report the state of their groups: their own and that of the
//! nodes attached to them. In a small fleet all nodes are relays.

mod delivery;
mod link;
mod plan;
mod presence;
mod relays;
mod scope;
mod settings;

pub use delivery::{Delivery, ListId, Step};
pub use link::{Link, LinkId, Role};
pub use presence::Presence;
pub use relays::Relays;
pub use scope::Scope;
pub use settings::Settings;

//! How the words of all nodes reach all nodes without a link from each to each.
//!
//! Some nodes of each availability zone are relays. Another node is attached to the relays of its
//! zone: it tells them of itself, and hears of the whole fleet. Relays of all zones are linked to each
//! other, and tell of their groups: of themselves and of those that are attached to them. In a small
//! fleet all nodes are relays.

mod head;
mod link;
mod plan;
mod relays;
mod scope;
mod settings;

pub use head::Head;
pub use link::{Link, LinkId, Sign};
pub use plan::Plan;
pub use relays::Relays;
pub use scope::Scope;
pub use settings::Settings;

//! An overlay of links: what nodes tell reaches all of them without a link from each to each.
//!
//! Some nodes of each availability zone are relays. Another node is attached to the relays of its
//! zone: it tells them of itself, and hears of the whole fleet. Relays of all zones are linked to each
//! other, and tell of their groups: of themselves and of those that are attached to them. In a small
//! fleet all nodes are relays.

mod link;
mod plan;
mod presence;
mod relays;
mod scope;
mod settings;

pub use link::{Link, LinkId, Role};
pub use presence::Presence;
pub use relays::Relays;
pub use scope::Scope;
pub use settings::Settings;

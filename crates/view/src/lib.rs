//! A node's view of configuration and members, as a state machine without I/O.
//!
//! The caller brings frames, answers of the platform and the time; the view gives back frames to
//! send. The rules that keep an accepted revision from ever reverting:
//!
//! - Revisions are applied in their order, each once ([`View::apply`]).
//! - New work starts only within the horizon of a proof: a read of the head, passed on by links with
//!   its age, or contact with a majority of the members, none of which has applied a greater
//!   revision ([`View::may_start`]).
//! - A revision is accepted once a majority of the members has applied it; a revision that changes
//!   members takes a majority of the members before it ([`View::accepted`]).
//! - A change of members follows only an accepted revision, and only an accepted change of members
//!   is followed ([`View::may_propose`]).
//! - Each start of a node is a member of its own, so a restarted node stands for nothing that it knew
//!   before. Only a member that has ended for certain ([`View::confirm_terminated`]) counts as having
//!   acknowledged; a lapsed lease alone removes nobody.

mod acceptance;
mod action;
mod clock;
mod error;
mod evidence;
mod exchange;
mod freshness;
mod history;
mod member;
mod membership;
mod overlay;
mod peer;
mod settings;
mod view;

pub use action::Action;
pub use error::{Pending, Stale};
pub use member::{Member, State};
pub use membership::{Membership, Voter};
pub use overlay::neighbours;
pub use settings::Settings;
pub use view::View;

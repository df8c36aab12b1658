//! A node's view of configuration and members, as a state machine without I/O.
//!
//! The caller supplies frames, platform responses and the current time; the view returns actions,
//! such as frames to send. These rules ensure that an accepted revision is never reverted:
//!
//! - Revisions are applied in order, each exactly once ([`View::apply`]).
//! - New work starts only if the applied revision was shown to be current within the horizon. This
//!   takes either a read of the head, here or by a node that forwarded it with its age, or contact
//!   with a majority of the members, none of which has applied a greater revision
//!   ([`View::may_start`]).
//! - A revision is accepted once a majority of the members has applied it. A revision that changes
//!   members also needs a majority of the previous members ([`View::accepted`]).
//! - A membership change may follow only an accepted revision, and must itself be accepted before
//!   another revision may follow it ([`View::may_propose`]).
//! - Each incarnation of a node is a separate member, so a restarted node doesn't count as having
//!   applied what it had applied before the restart. A member that is known to have terminated
//!   ([`View::confirm_terminated`]) counts as having acknowledged every revision; an expired lease
//!   alone removes nobody.

mod acceptance;
mod action;
mod clock;
mod error;
mod freshness;
mod history;
mod member;
mod membership;
mod overlay;
mod peer;
mod progress;
mod protocol;
mod settings;
mod tracker;
mod view;

pub use action::Action;
pub use error::{Pending, Stale};
pub use member::{Member, State};
pub use membership::{Membership, Voter};
pub use overlay::neighbours;
pub use settings::Settings;
pub use view::View;

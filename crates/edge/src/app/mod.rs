//! What the parts of a node share.

mod app;
mod mirror;
mod outage;
mod state;
mod table;

pub use app::{Announcement, App, Crash, Notice, Assignment};
pub use mirror::{Mirror, Update};
pub use outage::Outage;
pub use state::{State, log_unreadable_row};
pub use table::Table;

//! Shared state of a node.

mod app;
mod crash;
mod losses;
mod mirror;
mod outage;
mod reach;
mod restore;
mod state;
mod table;

pub use app::{Announcement, App, Assignment, Crash, Notice};
pub use losses::{Loss, Losses};
pub use mirror::{Changes, Mirror, Update};
pub use outage::Outage;
pub use state::{State, log_unreadable_row};
pub use table::Table;

//! Backend servers as the platform lists them.

mod listing;
mod state;

pub use listing::Listing;
pub use state::State;

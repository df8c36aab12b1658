//! Whether this node reaches backend servers itself, judged from its connects.

mod detour;
mod failure;
mod path;
mod reach;
mod settings;

pub use detour::Detour;
pub use failure::Failure;
pub use path::Path;
pub use reach::{Change, Reach};
pub use settings::Settings;

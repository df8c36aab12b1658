//! Placement: the choice of the backend server that runs a request.

mod load;
mod pool;
mod query;
mod settings;

pub use load::Load;
pub use pool::Pool;
pub use query::{Query, prefix_hash};
pub use settings::Settings;

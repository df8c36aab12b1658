//! Roll-out of a new version of a service.

mod settings;
mod side;
mod spec;
mod status;
mod tally;
mod trial;

pub use settings::Settings;
pub use side::Side;
pub use spec::Spec;
pub use status::Status;
pub use tally::{Count, Tally};
pub use trial::Trial;

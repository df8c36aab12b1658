//! Roll-outs of a service's new version.

mod spec;
mod status;
mod settings;
mod side;
mod tally;
mod trial;

pub use spec::Spec;
pub use status::Status;
pub use settings::Settings;
pub use side::Side;
pub use tally::{Count, Tally};
pub use trial::Trial;

//! Decisions against baselines.

use bpaf::Bpaf;
use standin::Error;

/// Settings of this measurement.
#[derive(Bpaf, Clone, Debug)]
pub struct Settings {
    /// Print JSON only
    json: bool,
}

/// Runs the measurement.
pub async fn run(settings: Settings) -> Result<(), Error> {
    Err(Error::Setting {
        name: "measure",
        found: format!("policy, json {}", settings.json),
        expected: "a measurement that is built",
    })
}

//! Scenarios of failures by seed.

use bpaf::Bpaf;
use standin::Error;

/// Settings of this measurement.
#[derive(Bpaf, Clone, Debug)]
pub struct Settings {
    /// Seeds for each scenario
    #[bpaf(fallback(1))]
    seeds: u64,
    /// Print JSON only
    json: bool,
}

/// Runs the measurement.
pub async fn run(settings: Settings) -> Result<(), Error> {
    Err(Error::Setting {
        name: "measure",
        found: format!("faults, seeds {}, json {}", settings.seeds, settings.json),
        expected: "a measurement that is built",
    })
}

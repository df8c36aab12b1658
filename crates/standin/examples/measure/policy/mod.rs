//! Decisions against baselines, in one process or, with `--nodes`, with real nodes.
//!
//! In one process the decision code of the crates `policy` and `limits` answers seeded requests against a small model
//! of arrivals, service times and ratings. There are no nodes, links or sockets in it; only the
//! decisions are measured. Nothing but the baselines is compared with real nodes.

mod line;
mod nodes;
mod plot;
mod report;
mod request;
mod scenario;
mod server;
mod site;
mod strategy;
mod tally;
mod world;

use bpaf::Bpaf;
use report::Report;
use scenario::Scenario;
use site::Site;
use standin::Error;
use std::path::PathBuf;

/// Settings of this measurement.
#[derive(Bpaf, Clone, Debug)]
pub struct Settings {
    /// Seed of the requests
    #[bpaf(fallback(1))]
    seed: u64,
    /// Seconds of requests in each run
    #[bpaf(fallback(300))]
    seconds: u64,
    /// Only the run of this scenario
    scenario: Option<String>,
    /// Seconds of load for each policy with real nodes, in place of the runs in one process
    nodes: Option<u64>,
    /// Folder for the plots
    output: Option<PathBuf>,
    /// Print JSON only
    json: bool,
}

/// Runs the measurement.
pub async fn run(settings: Settings) -> Result<(), Error> {
    if let Some(seconds) = settings.nodes {
        return nodes::run(seconds, settings.seed, settings.json).await;
    }
    let mut report = Report::default();
    for site in Site::all() {
        let rate = scenario::capacity(&site, settings.seed);
        report.capacity(&site, rate);
        for scenario in Scenario::all() {
            if settings
                .scenario
                .as_ref()
                .is_some_and(|one| one != scenario.name)
            {
                continue;
            }
            for strategy in scenario.strategies() {
                let tally = scenario.run(&site, &strategy, rate, settings.seed, settings.seconds);
                report.add(&site, &scenario, &strategy, &tally);
            }
        }
    }
    report.print(settings.json)?;
    if let Some(folder) = &settings.output {
        plot::write(folder, &report)?;
    }
    Ok(())
}

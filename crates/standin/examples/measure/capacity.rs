//! Slopes for the capacity page.

mod control;
mod row;
mod tables;

use bpaf::Bpaf;
use row::Row;
use standin::Error;
use std::time::Duration;

/// Settings of this measurement.
#[derive(Bpaf, Clone, Debug)]
pub struct Settings {
    /// Print JSON only
    json: bool,
    /// Only what needs no node process
    tables: bool,
    /// Node processes, several separated by commas
    #[bpaf(argument("COUNTS"), fallback("3,7,12".to_owned()))]
    nodes: String,
    /// Seconds of each window
    #[bpaf(argument("S"), fallback(5))]
    window: u64,
    /// Changes of configuration in the second window
    #[bpaf(argument("N"), fallback(20))]
    changes: usize,
}

/// Runs the measurement.
pub async fn run(settings: Settings) -> Result<(), Error> {
    let mut rows = tables::measure()?;
    rows.extend(control::views()?);
    if !settings.tables {
        let window = Duration::from_secs(settings.window);
        rows.extend(control::fleets(&settings.nodes, window, settings.changes).await?);
    }
    if !settings.json {
        Row::print(&rows);
    }
    println!("{}", serde_json::to_string(&rows)?);
    Ok(())
}

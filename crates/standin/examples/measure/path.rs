//! What a node adds to a request.

mod load;
mod report;
mod site;
mod streams;

use bpaf::Bpaf;
use load::{Load, Target};
use report::{Added, Report};
use site::Site;
use standin::Error;
use std::time::Duration;

/// Requests a second before the first window.
const WARM_RATE: u32 = 500;
const WARM_TIME: Duration = Duration::from_secs(3);
/// Time for which a rate is tried while the highest one is sought.
const TRIAL: Duration = Duration::from_secs(3);

/// Settings of this measurement.
#[derive(Bpaf, Clone, Debug)]
pub struct Settings {
    /// Print JSON only
    json: bool,
    /// Requests a second, several separated by commas
    #[bpaf(argument("RATES"), fallback("100,1000".to_owned()))]
    rates: String,
    /// Seconds of each window
    #[bpaf(argument("S"), fallback(6))]
    seconds: u64,
    /// Requests a second by which the search for the highest rate goes up
    #[bpaf(argument("RATE"), fallback(1000))]
    step: u32,
    /// Requests a second at which the search ends
    #[bpaf(argument("RATE"), fallback(8000))]
    most: u32,
    /// Streams that are open at once, several separated by commas
    #[bpaf(argument("COUNTS"), fallback("100,500,1000".to_owned()))]
    streams: String,
}

/// Runs the measurement.
pub async fn run(settings: Settings) -> Result<(), Error> {
    let site = Site::start().await?;
    let idle_mib = site.memory_mib()?;
    let window = Duration::from_secs(settings.seconds);
    load::run(&[site.through_node()], WARM_RATE, WARM_TIME, false).await?;
    let mut added = Vec::new();
    let rates = numbers("rates", &settings.rates)?;
    for rate in &rates {
        added.push(side_by_side(&site, *rate, window, false).await?);
    }
    let streamed_rate = rates.iter().copied().max().unwrap_or(WARM_RATE);
    let streamed = side_by_side(&site, streamed_rate, window, true).await?;
    let highest = highest(&site, &settings).await?;
    if highest > 0 {
        added.push(side_by_side(&site, highest, window, false).await?);
    }
    let open = streams::memory(&site, &numbers("streams", &settings.streams)?).await?;
    let report = Report::new(added, streamed, highest, idle_mib, open);
    if !settings.json {
        report.print();
    }
    println!("{}", serde_json::to_string(&report)?);
    Ok(())
}

async fn side_by_side(
    site: &Site,
    rate: u32,
    time: Duration,
    streamed: bool,
) -> Result<Added, Error> {
    let before = site.used()?;
    let targets = [site.direct(), site.through_node()];
    let mut loads = load::run(&targets, rate, time, streamed).await?;
    let used = site.used()?.since(before);
    let node = loads.pop().unwrap_or_default();
    let direct = loads.pop().unwrap_or_default();
    Ok(Added::new(rate, direct, node, used))
}

/// The highest rate at which no request failed, and none waited for long.
async fn highest(site: &Site, settings: &Settings) -> Result<u32, Error> {
    let targets: [Target; 1] = [site.through_node()];
    let mut held = 0;
    let mut rate = settings.step.max(1);
    while rate <= settings.most {
        let loads = load::run(&targets, rate, TRIAL, false).await?;
        if !loads.into_iter().all(Load::holds) {
            break;
        }
        held = rate;
        rate += settings.step.max(1);
    }
    Ok(held)
}

fn numbers(name: &'static str, text: &str) -> Result<Vec<u32>, Error> {
    let read = |one: &str| {
        one.trim().parse().map_err(|_| Error::Setting {
            name,
            found: one.to_owned(),
            expected: "numbers separated by commas",
        })
    };
    text.split(',').map(read).collect()
}

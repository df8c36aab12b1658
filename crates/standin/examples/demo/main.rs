//! A whole site on this machine: stand-ins, three nodes in three availability zones, the sample
//! contracts, and a few requests. Run it by `demo.sh`, which builds the programs first.

mod request;
mod site;
mod table;

use bpaf::Bpaf;
use serde::Serialize;
use site::Site;
use standin::Error;

/// Starts a whole site and sends a few requests
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Options {
    /// End after the requests
    once: bool,
    /// Stay up until interrupted, and print one JSON line about the site
    keep: bool,
}

#[rocket::main]
async fn main() -> Result<(), Error> {
    env_logger::init();
    let options = options().run();
    let site = Site::start().await?;
    let results = request::send_all(&site).await?;
    table::print(&results);
    if options.keep && !options.once {
        println!("{}", site.describe());
        site.wait_for_interrupt().await?;
    } else {
        let billed = site.settled_bills(&results).await?;
        println!(
            "{}",
            serde_json::to_string(&Summary::of(&results, &billed))?
        );
    }
    site.stop().await
}

/// What became of the last answered completion.
#[derive(Debug, Default, Serialize)]
struct Summary {
    status: u16,
    model: String,
    version: String,
    ran: String,
    billed: usize,
}

impl Summary {
    fn of(results: &[request::Done], bills: &[String]) -> Self {
        let Some(last) = results.iter().rev().find(|done| !done.model.is_empty()) else {
            return Self::default();
        };
        Self {
            status: last.status,
            model: last.model.clone(),
            version: last.version.clone(),
            ran: last.ran.clone(),
            billed: bills.iter().filter(|id| **id == last.request_id).count(),
        }
    }
}

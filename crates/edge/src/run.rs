//! Starts the parts of a node.

use crate::app::{App, Table};
use crate::stop::{self, Stop};
use crate::{Error, directory, duty, follow, forward, link, listen, membership};
use bpaf::{OptionParser, Parser, long};
use settings::log::Format;
use std::sync::Arc;
use tokio::signal::unix::{SignalKind, signal};

/// What the command line of an entry node holds.
#[derive(Clone, Debug)]
pub struct Options {
    /// Filter of the log.
    pub log: String,
}

/// Flags of an entry node.
pub fn options() -> OptionParser<Options> {
    let log = long("log")
        .env("SARDINEBANK_LOG")
        .help("Filter of the log: a level, or target=level, by commas")
        .argument::<String>("FILTER")
        .fallback("info".to_owned());
    bpaf::construct!(Options { log })
        .to_options()
        .descr("An entry node on the operators' platform; its site comes from the settings file")
}

/// Runs a node until it is told to stop.
pub fn run(options: &Options) -> Result<(), Error> {
    settings::log::init(&options.log, Format::Json)?;
    let path = platform::site_path()?;
    let text = std::fs::read_to_string(&path).map_err(platform::Error::File)?;
    let site = platform::site(&text)?;
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?
        .block_on(serve(App::new(site)?))
}

async fn serve(app: App) -> Result<(), Error> {
    let app = Arc::new(app);
    log::info!(event = 1701, node = app.site.node.as_str(), zone = app.site.zone.as_str(); "node started");
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let (switch, stop) = Stop::new();
    link::listen(Arc::clone(&app)).await?;
    let site = &app.site;
    let ready = |app: Arc<App>, request| async move { directory::ready(&app, &request) };
    listen::listen(Arc::clone(&app), stop.clone(), site.ready, ready).await?;
    let resolve = |app: Arc<App>, request| async move { directory::resolve(&app, &request) };
    listen::listen(Arc::clone(&app), stop.clone(), site.directory, resolve).await?;
    listen::listen(Arc::clone(&app), stop, site.requests, forward::forward).await?;
    for table in Table::ALL {
        tokio::spawn(follow::follow(Arc::clone(&app), table));
    }
    tokio::spawn(follow::sweep(Arc::clone(&app)));
    tokio::spawn(membership::join(Arc::clone(&app)));
    tokio::spawn(link::dial(Arc::clone(&app)));
    tokio::spawn(duty::run(Arc::clone(&app)));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => log::info!(event = 1713; "settings file has changed"),
        }
    }
    stop::drain(app, switch).await;
    Ok(())
}

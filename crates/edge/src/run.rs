//! Starts the parts of a node.

use crate::app::{App, Table};
use crate::shutdown::{self, Shutdown};
use crate::{Error, directory, follow, forward, link, listen, membership, metrics, status};
use bpaf::{OptionParser, Parser, long};
use settings::log::{Format, Limits};
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::sleep;

/// What the command line of an entry node holds.
#[derive(Clone, Debug)]
pub struct Options {
    /// Filter of the log.
    pub log: String,
    /// Port of the metrics, at the VM's address.
    pub metrics_port: u16,
}

/// Port of the metrics unless another is given: the usual one for node metrics.
const METRICS_PORT: u16 = 9464;

/// Flags of an entry node.
pub fn options() -> OptionParser<Options> {
    let log = long("log")
        .env("SARDINEBANK_LOG")
        .help("Filter of the log: a level, or target=level, by commas")
        .argument::<String>("FILTER")
        .fallback("info".to_owned());
    let metrics_port = long("metrics-port")
        .env("SARDINEBANK_METRICS_PORT")
        .help("Port at which GET /metrics answers, at the address of the VM")
        .argument::<u16>("PORT")
        .fallback(METRICS_PORT)
        .display_fallback();
    bpaf::construct!(Options { log, metrics_port })
        .to_options()
        .descr("An entry node on the operators' platform; its site comes from the settings file")
}

/// Pause between two looks at the settings file.
const SETTINGS_PAUSE: Duration = Duration::from_secs(2);

/// Runs a node until it is told to stop.
pub fn run(options: &Options) -> Result<(), Error> {
    let lines = settings::log::init_bounded(&options.log, Format::Json, Limits::default())?;
    let path = platform::site_path()?;
    let site = platform::parse_site(&read(&path)?)?;
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?
        .block_on(serve(App::new(site, lines)?, path, options.metrics_port))
}

async fn serve(app: App, path: PathBuf, metrics_port: u16) -> Result<(), Error> {
    let app = Arc::new(app);
    log::info!(event = 1701, node = app.site.node.as_str(), zone = app.site.zone.as_str(); "node started");
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let (phase, shutdown) = Shutdown::new();
    link::listen(Arc::clone(&app)).await?;
    let site = &app.site;
    let ready = |app: Arc<App>, request| async move { directory::ready(&app, &request) };
    listen::listen(
        Arc::clone(&app),
        shutdown.clone(),
        site.ready_address,
        ready,
    )
    .await?;
    let resolve = |app: Arc<App>, request| async move { directory::resolve(&app, &request) };
    listen::listen(
        Arc::clone(&app),
        shutdown.clone(),
        site.directory_address,
        resolve,
    )
    .await?;
    let scrape = |app: Arc<App>, request| async move { metrics::serve(&app, &request) };
    let address = SocketAddrV4::new(site.ip, metrics_port);
    let opened = listen::listen(Arc::clone(&app), shutdown.clone(), address, scrape).await;
    if let Err(error) = opened {
        log::warn!(event = 1727; "no metrics are served: {error}");
    }
    listen::listen(
        Arc::clone(&app),
        shutdown,
        site.http_address,
        forward::forward,
    )
    .await?;
    for table in Table::ALL {
        tokio::spawn(follow::follow(Arc::clone(&app), table));
    }
    tokio::spawn(follow::sweep(Arc::clone(&app)));
    tokio::spawn(follow::report_dropped_lines(Arc::clone(&app)));
    tokio::spawn(membership::join(Arc::clone(&app)));
    tokio::spawn(link::send_heartbeats(Arc::clone(&app)));
    tokio::spawn(link::send_announcements(Arc::clone(&app)));
    tokio::spawn(link::dial(Arc::clone(&app)));
    tokio::spawn(status::publish(Arc::clone(&app)));
    let mut known = read(&path)?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => (),
            () = sleep(SETTINGS_PAUSE) => (),
        }
        known = follow_settings(&app, &path, known);
    }
    shutdown::drain(app, phase).await;
    Ok(())
}

fn read(path: &Path) -> Result<String, platform::Error> {
    std::fs::read_to_string(path).map_err(platform::Error::Io)
}

/// Takes over a changed settings file; one that can't be used changes nothing. Gives its text.
fn follow_settings(app: &App, path: &Path, known: String) -> String {
    let text = match read(path) {
        Ok(text) if text == known => return known,
        Ok(text) => text,
        Err(error) => {
            log::warn!(event = 1718; "{error}");
            return known;
        }
    };
    match platform::parse_site(&text) {
        Ok(site) => {
            let moved = site.http_address != app.site.http_address;
            app.state().reload(site);
            log::info!(event = 1713, moved = moved; "settings file has changed");
        }
        Err(error) => log::warn!(event = 1726; "changed settings can't be used: {error}"),
    }
    text
}

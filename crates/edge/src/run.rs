//! Command line of a node, and the startup of its tasks.

use crate::app::{App, Table};
use crate::shutdown::{self, Shutdown};
use crate::supervise::supervise;
use crate::{
    Error, connect, directory, explain, follow, forward, link, listen, membership, metrics, status,
};
use bpaf::{OptionParser, Parser, long};
use hyper::Request;
use hyper::body::Incoming;
use settings::log::{Format, Limits};
use std::io;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::sleep;

/// Command-line options of an entry node.
#[derive(Clone, Debug)]
pub struct Options {
    /// Log filter.
    pub log: String,
    /// Port of the metrics endpoint, on the VM's address.
    pub metrics_port: u16,
}

/// Default port of the metrics endpoint, the usual one for node metrics.
const DEFAULT_METRICS_PORT: u16 = 9464;

/// Parser of the command line of an entry node.
pub fn options() -> OptionParser<Options> {
    let log = long("log")
        .env("SARDINEBANK_LOG")
        .help("Log filter: a level, or target=level pairs, separated by commas")
        .argument::<String>("FILTER")
        .fallback("info".to_owned());
    let metrics_port = long("metrics-port")
        .env("SARDINEBANK_METRICS_PORT")
        .help("Port on which GET /metrics is served, at the address of the VM")
        .argument::<u16>("PORT")
        .fallback(DEFAULT_METRICS_PORT)
        .display_fallback();
    bpaf::construct!(Options { log, metrics_port })
        .to_options()
        .descr("Entry node of the operators' platform; its site is read from the settings file")
}

/// Interval at which the settings file is checked for changes.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// The signals that a node handles. Until they are registered they end the process.
struct Signals {
    terminate: Signal,
    reload: Signal,
}

impl Signals {
    fn register() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            reload: signal(SignalKind::hangup())?,
        })
    }
}

/// Runs a node until it receives SIGTERM.
pub fn run(options: &Options) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    // First of all: a slow VM takes its time for the rest.
    let signals = {
        let _context = runtime.enter();
        Signals::register()?
    };
    let log_counts = settings::log::init_limited(&options.log, Format::Json, Limits::default())?;
    let path = platform::site_path()?;
    let text = read(&path)?;
    let site = platform::parse_site(&text)?;
    let app = Arc::new(App::new(site, log_counts)?);
    runtime.block_on(serve(app, signals, (path, text), options.metrics_port))
}

async fn serve(
    app: Arc<App>,
    mut signals: Signals,
    (path, mut current): (PathBuf, String),
    metrics_port: u16,
) -> Result<(), Error> {
    log::info!(event = 1701, node = app.site.node.as_str(), zone = app.site.zone.as_str(); "node started");
    let (phase, shutdown) = Shutdown::new();
    tokio::select! {
        listening = start_listeners(&app, shutdown, metrics_port) => listening?,
        _ = signals.terminate.recv() => {
            log::info!(event = 1755; "stopped before all addresses were bound");
            return Ok(());
        }
    }
    for table in Table::ALL {
        supervise(&app, table.name(), move |app| follow::follow(app, table));
    }
    supervise(&app, "sweep", follow::sweep);
    supervise(&app, "dropped_lines", follow::report_dropped_lines);
    supervise(&app, "register", membership::register);
    supervise(&app, "heartbeats", link::send_heartbeats);
    supervise(&app, "announcements", link::send_announcements);
    supervise(&app, "dial", link::dial);
    supervise(&app, "probe", connect::probe);
    supervise(&app, "status", status::publish);
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.reload.recv() => (),
            () = sleep(SETTINGS_CHECK_INTERVAL) => (),
        }
        current = reload_settings(&app, &path, current);
    }
    shutdown::drain(app, phase).await;
    Ok(())
}

/// Binds the addresses of the node and serves them.
async fn start_listeners(
    app: &Arc<App>,
    shutdown: Shutdown,
    metrics_port: u16,
) -> Result<(), Error> {
    link::listen(Arc::clone(app)).await?;
    let site = &app.site;
    let ready = |app: Arc<App>, request| async move { directory::ready(&app, &request) };
    listen::listen(Arc::clone(app), shutdown.clone(), site.ready_address, ready).await?;
    let resolve = |app: Arc<App>, request| async move { directory::resolve(&app, &request) };
    listen::listen(
        Arc::clone(app),
        shutdown.clone(),
        site.directory_address,
        resolve,
    )
    .await?;
    let address = SocketAddrV4::new(site.ip, metrics_port);
    tokio::spawn(serve_metrics(Arc::clone(app), shutdown.clone(), address));
    listen::listen(
        Arc::clone(app),
        shutdown,
        site.http_address,
        forward::forward,
    )
    .await
}

/// Serves metrics and explanations. The node works without them.
async fn serve_metrics(app: Arc<App>, shutdown: Shutdown, address: SocketAddrV4) {
    let scrape = |app: Arc<App>, request: Request<Incoming>| async move {
        match request.uri().path() {
            explain::PATH => explain::serve(&app, request).await,
            _ => metrics::serve(&app, &request),
        }
    };
    if let Err(error) = listen::listen(app, shutdown, address, scrape).await {
        log::warn!(event = 1727; "can't serve metrics: {error}");
    }
}

fn read(path: &Path) -> Result<String, platform::Error> {
    std::fs::read_to_string(path).map_err(platform::Error::Io)
}

/// Applies the settings file if it has changed and returns its text. Invalid settings change nothing.
fn reload_settings(app: &App, path: &Path, current: String) -> String {
    let text = match read(path) {
        Ok(text) if text == current => return current,
        Ok(text) => text,
        Err(error) => {
            log::warn!(event = 1718; "{error}");
            return current;
        }
    };
    match platform::parse_site(&text) {
        Ok(site) => {
            let moved = site.http_address != app.site.http_address;
            app.state().reload(site);
            log::info!(event = 1713, moved = moved; "settings file changed");
        }
        Err(error) => log::warn!(event = 1726; "changed settings are invalid: {error}"),
    }
    text
}

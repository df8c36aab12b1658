//! Startup of a node's components, and orderly shutdown.

use crate::app::{App, Components};
use crate::drain::Drain;
use crate::metrics::{self, Meter};
use crate::{caller, inbox, link, operator, schedule, stop};
use clients::vms;
use rocket::config::{Config as RocketConfig, Ident, LogLevel, Shutdown};
use settings::node::Settings;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

/// Seconds that idle connections have to close when the node stops.
const CONNECTION_GRACE_S: u32 = 1;

/// Errors that keep a node from running.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A client for a platform service can't be created.
    #[error("cannot create a client for the platform: {0}")]
    Platform(#[from] clients::Error),
    /// The listener for links from other nodes can't be opened.
    #[error("{0}")]
    Link(#[from] link::Error),
    /// The settings name an unknown policy.
    #[error(transparent)]
    Policy(#[from] schedule::Unknown),
    /// The async runtime or its signal handlers can't be started.
    #[error("cannot start the async runtime or its signal handlers: {0}")]
    Runtime(#[source] std::io::Error),
    /// The HTTP server failed.
    #[error("HTTP server failed: {0}")]
    Http(#[from] Box<rocket::Error>),
}

/// Runs a node until a signal stops it.
pub async fn run(settings: Settings) -> Result<(), Error> {
    settings.policy.parse::<schedule::Policy>()?;
    let vms = vms::Client::new(vms::Settings {
        url: settings.vms_url.clone(),
        ..vms::Settings::default()
    })?;
    let app = Arc::new(App::new(
        settings.clone(),
        Components::new(&settings, incarnation())?,
    ));
    tokio::spawn({
        let app = Arc::clone(&app);
        async move { app.fleet.run(&vms, app.settings.vms_poll).await }
    });
    app.hub.listen(settings.link).await?;
    tokio::spawn(Arc::clone(&app.replica).run());
    tokio::spawn(inbox::run(Arc::clone(&app)));
    tokio::spawn({
        let app = Arc::clone(&app);
        async move { app.slots.run(app.as_ref()).await }
    });
    tokio::spawn({
        let app = Arc::clone(&app);
        async move { app.bills.run(app.as_ref()).await }
    });
    tokio::spawn({
        let app = Arc::clone(&app);
        async move { app.claims.run().await }
    });
    tokio::spawn(metrics::run(Arc::clone(&app)));
    tokio::spawn({
        let app = Arc::clone(&app);
        async move { app.scheduler.run(|frame| app.hub.broadcast(&frame)).await }
    });
    let rocket = rocket::custom(rocket_config(&settings))
        .manage(Arc::clone(&app))
        .attach(Meter(app.metrics.clone()))
        .attach(Drain(Arc::clone(&app)))
        .mount("/", caller::routes())
        .register("/", caller::catchers())
        .mount("/", operator::routes())
        .register(operator::ROOT, operator::catchers())
        .ignite()
        .await
        .map_err(Box::new)?;
    let metrics = app.metrics.clone();
    let signals = stop::Signals::new().map_err(Error::Runtime)?;
    tokio::spawn(stop::stop(app, signals, rocket.shutdown()));
    rocket.launch().await.map_err(Box::new)?;
    metrics.flush();
    log::info!(event = 1004; "node stopped");
    Ok(())
}

fn rocket_config(settings: &Settings) -> RocketConfig {
    RocketConfig {
        address: settings.http.ip(),
        port: settings.http.port(),
        workers: settings.workers,
        ident: Ident::none(),
        log_level: LogLevel::Off,
        cli_colors: false,
        shutdown: Shutdown {
            ctrlc: false,
            signals: Default::default(),
            grace: CONNECTION_GRACE_S,
            mercy: CONNECTION_GRACE_S,
            ..Shutdown::default()
        },
        ..RocketConfig::release_default()
    }
}

fn incarnation() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

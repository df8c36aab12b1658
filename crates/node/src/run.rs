//! Starts the parts of a node and stops them in order.

use crate::app::App;
use crate::caller;
use platform::Table;
use platform::table::Range;
use platform::{table, vms};
use rocket::config::{Config as RocketConfig, Ident, LogLevel, Shutdown};
use settings::node::Settings;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

/// Why a node can't run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A client of the platform can't be built.
    #[error("client of the platform: {0}")]
    Platform(#[from] platform::Error),
    /// The threads can't be started.
    #[error("threads: {0}")]
    Runtime(#[source] std::io::Error),
    /// The HTTP server failed.
    #[error("HTTP server: {0}")]
    Http(#[from] Box<rocket::Error>),
}

/// Runs a node until it is told to stop.
pub async fn run(settings: Settings) -> Result<(), Error> {
    let app = Arc::new(App::new(settings.clone(), incarnation()));
    let vms = vms::Client::new(vms::Settings {
        url: settings.vms_url.clone(),
        ..vms::Settings::default()
    })?;
    let table = table::Client::new(table::Settings {
        url: settings.table_url.clone(),
        table: settings.table.clone(),
        ..table::Settings::default()
    })?;
    tokio::spawn({
        let app = Arc::clone(&app);
        async move { app.fleet.run(&vms, app.settings.vms_poll).await }
    });
    tokio::spawn(poll(Arc::clone(&app), table));
    rocket::custom(rocket_config(&settings))
        .manage(app)
        .mount("/", caller::routes())
        .register("/", caller::catchers())
        .launch()
        .await
        .map_err(Box::new)?;
    Ok(())
}

async fn poll(app: Arc<App>, table: table::Client) {
    let mut ticks = tokio::time::interval(app.settings.poll);
    loop {
        ticks.tick().await;
        let Ok(Some(head)) = table.get("config", "head").await else {
            continue;
        };
        if head.rev == app.config().revision() {
            continue;
        }
        let Ok(items) = table.list("config-obj", &Range::All, 10_000).await else {
            continue;
        };
        let objects = items
            .iter()
            .filter_map(|item| contract::Object::read(&item.sort, &item.body).ok())
            .collect();
        app.publish(contract::Config::new(head.rev, objects));
    }
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

//! Outgoing links.

use super::listen::config;
use super::run::{Error, run};
use crate::app::App;
use crate::upstream::detect_dead_peer;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tokio_tungstenite::client_async_with_config;

/// Timeout for opening a link.
const OPEN_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval between checks for links to open.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Opens the links that this node should have, for as long as it runs.
pub async fn dial(app: Arc<App>) {
    loop {
        for address in plan(&app) {
            app.state().relays.dial_started(Instant::now(), address);
            tokio::spawn(open(Arc::clone(&app), address));
        }
        sleep(CHECK_INTERVAL).await;
    }
}

/// Addresses to which links should be opened now.
fn plan(app: &App) -> Vec<SocketAddrV4> {
    let own = app.member();
    let mut state = app.state();
    let state = &mut *state;
    let was_relay = state.relays.is_relay();
    let due = state
        .relays
        .plan(Instant::now(), &own, &state.members, &state.seeds);
    let relay = state.relays.is_relay();
    if relay != was_relay {
        log::info!(event = 1728, relay = relay, members = state.members.all().count(); "relay role changed");
    }
    due
}

async fn open(app: Arc<App>, address: SocketAddrV4) {
    match connect(&app, address).await {
        Ok(()) => app.state().relays.reset_backoff(address),
        Err(error) => {
            log::debug!(event = 1715, peer = address.to_string().as_str(); "outgoing link ended: {error}");
            app.state().relays.dial_failed(Instant::now(), address);
        }
    }
}

async fn connect(app: &Arc<App>, address: SocketAddrV4) -> Result<(), Error> {
    let open = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        detect_dead_peer(&stream)?;
        let opened =
            client_async_with_config(format!("ws://{address}/"), stream, Some(config())).await;
        Ok::<_, Error>(opened?.0)
    };
    let link = timeout(OPEN_TIMEOUT, open)
        .await
        .map_err(|_| Error::Timeout)??;
    run(app, link, Some(address)).await
}

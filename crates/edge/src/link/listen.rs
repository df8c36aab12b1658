//! Incoming links.

use super::run::run;
use crate::Error;
use crate::app::App;
use crate::bind::bind;
use crate::upstream::detect_dead_peer;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio_tungstenite::accept_async_with_config;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

/// Size of a link's read buffer: a heartbeat fits, and relays have many links.
const READ_BUFFER: usize = 8 << 10;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// WebSocket configuration of links.
pub fn config() -> WebSocketConfig {
    WebSocketConfig::default().read_buffer_size(READ_BUFFER)
}

/// Listens for links, and accepts them for as long as the node runs.
pub async fn listen(app: Arc<App>) -> Result<(), Error> {
    let address = app.member().link_address;
    let listener = bind(address).await?;
    tokio::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(accept(Arc::clone(&app), stream));
                }
                Err(error) => {
                    log::warn!(event = 1711; "cannot accept a link: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    });
    Ok(())
}

async fn accept(app: Arc<App>, stream: TcpStream) {
    if let Err(error) = receive(&app, stream).await {
        log::debug!(event = 1716; "incoming link ended: {error}");
    }
}

async fn receive(app: &Arc<App>, stream: TcpStream) -> Result<(), super::run::Error> {
    detect_dead_peer(&stream)?;
    stream.set_nodelay(true)?;
    let link = accept_async_with_config(stream, Some(config())).await?;
    run(app, link, None).await
}

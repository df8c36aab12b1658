//! Links that other nodes open.

use super::run::run;
use crate::Error;
use crate::app::App;
use crate::upstream::detect_dead_peer;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio_tungstenite::accept_async_with_config;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

/// Bytes of a link's read buffer: a beat fits, and relays have many links.
const READ_BUFFER: usize = 8 << 10;

/// How links are set up.
pub fn config() -> WebSocketConfig {
    WebSocketConfig::default().read_buffer_size(READ_BUFFER)
}

/// Accepts links for as long as the node runs.
pub async fn listen(app: Arc<App>) -> Result<(), Error> {
    let address = app.member().link;
    let listener = TcpListener::bind(address).await;
    let listener = listener.map_err(|source| Error::Listen { address, source })?;
    tokio::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(accept(Arc::clone(&app), stream));
                }
                Err(error) => {
                    log::warn!(event = 1711; "link can't be accepted: {error}");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        }
    });
    Ok(())
}

async fn accept(app: Arc<App>, stream: TcpStream) {
    if let Err(error) = receive(&app, stream).await {
        log::debug!(event = 1716; "link ended: {error}");
    }
}

async fn receive(app: &Arc<App>, stream: TcpStream) -> Result<(), super::run::Error> {
    detect_dead_peer(&stream)?;
    stream.set_nodelay(true)?;
    let link = accept_async_with_config(stream, Some(config())).await?;
    run(app, link, None).await
}

//! Incoming links and tunnels.

use super::run::run;
use crate::Error;
use crate::app::App;
use crate::bind::bind;
use crate::tunnel;
use crate::upstream::detect_dead_peer;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio_tungstenite::accept_hdr_async_with_config;
use tokio_tungstenite::tungstenite::handshake::server::{
    Callback, ErrorResponse, Request, Response,
};
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

/// Size of a link's read buffer: a heartbeat fits, and relays have many links.
const READ_BUFFER: usize = 8 << 10;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// WebSocket configuration of links.
pub fn config() -> WebSocketConfig {
    WebSocketConfig::default().read_buffer_size(READ_BUFFER)
}

/// Listens for links and tunnels, and accepts them for as long as the node runs.
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
    let mut is_tunnel = false;
    let detect = DetectTunnel(&mut is_tunnel);
    let link = accept_hdr_async_with_config(stream, detect, Some(config())).await?;
    if !is_tunnel {
        return run(app, link, None).await;
    }
    if let Err(failure) = tunnel::serve(app, link).await {
        log::debug!(event = 1772; "tunnel ended: {failure}");
    }
    Ok(())
}

/// Detects by the path of the WebSocket request whether a connection is a tunnel.
struct DetectTunnel<'a>(&'a mut bool);

impl Callback for DetectTunnel<'_> {
    fn on_request(self, request: &Request, response: Response) -> Result<Response, ErrorResponse> {
        *self.0 = request.uri().path() == tunnel::PATH;
        Ok(response)
    }
}

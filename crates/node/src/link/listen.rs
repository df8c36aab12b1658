//! Incoming connections.

use super::socket::{self, NONCE_HEADER, Socket};
use super::{Error, Hub, Peer, handshake};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};
use tokio_tungstenite::accept_hdr_async_with_config;
use tokio_tungstenite::tungstenite::handshake::server::{ErrorResponse, Request, Response};
use tokio_tungstenite::tungstenite::http::HeaderValue;

/// Delay after a failed accept, for example when too many files are open.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// Accepts connections until the node stops.
pub(super) async fn run(hub: Arc<Hub>, listener: TcpListener) {
    let handshakes = Arc::new(Semaphore::new(hub.settings.max_handshakes));
    loop {
        let Ok(permit) = Arc::clone(&handshakes).acquire_owned().await else {
            return;
        };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(event = 1221; "failed to accept on the link port: {error}");
                sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        let hub = Arc::clone(&hub);
        tokio::spawn(async move {
            let result = timeout(hub.settings.connect_timeout, shake_hands(&hub, stream)).await;
            drop(permit);
            match result {
                Ok(Ok((socket, peer))) => {
                    let dialer = peer.node.clone();
                    hub.register(socket, peer, dialer);
                }
                Ok(Err(error)) => log::warn!(event = 1222; "link refused: {error}"),
                Err(_) => log::warn!(event = 1227; "link refused: handshake timed out"),
            }
        });
    }
}

#[allow(clippy::result_large_err)]
async fn shake_hands(hub: &Hub, stream: TcpStream) -> Result<(Socket, Peer), Error> {
    stream.set_nodelay(true)?;
    let ours = handshake::nonce();
    let mut theirs = None;
    let exchange = |request: &Request, mut response: Response| -> Result<_, ErrorResponse> {
        let value = request.headers().get(NONCE_HEADER);
        theirs = value
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        if let Ok(value) = HeaderValue::from_str(&ours) {
            response.headers_mut().insert(NONCE_HEADER, value);
        }
        Ok(response)
    };
    let config = Some(socket::config());
    let mut socket = accept_hdr_async_with_config(stream, exchange, config).await?;
    let theirs = theirs.ok_or(Error::Greeting)?;
    let peer = socket::shake_hands(hub, &mut socket, &ours, &theirs).await?;
    Ok((socket, peer))
}

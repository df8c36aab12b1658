//! Outgoing connections.

use super::socket::{self, NONCE_HEADER, Socket};
use super::{Error, Hub, Peer, handshake};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_tungstenite::client_async_with_config;
use tokio_tungstenite::tungstenite::client::IntoClientRequest;
use tokio_tungstenite::tungstenite::http::{HeaderValue, Response};

/// Connects to an address and shakes hands.
pub(super) async fn dial(hub: &Hub, address: &str) -> Result<(Socket, Peer), Error> {
    let limit = hub.settings.connect_timeout;
    timeout(limit, shake_hands(hub, address))
        .await
        .map_err(|_| Error::Closed)?
}

async fn shake_hands(hub: &Hub, address: &str) -> Result<(Socket, Peer), Error> {
    let ours = handshake::nonce();
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let mut request = format!("ws://{address}/").into_client_request()?;
    let value = HeaderValue::from_str(&ours).map_err(|_| Error::Greeting)?;
    request.headers_mut().insert(NONCE_HEADER, value);
    let config = Some(socket::config());
    let (mut socket, response) = client_async_with_config(request, stream, config).await?;
    let theirs = nonce_of(&response).ok_or(Error::Greeting)?;
    let peer = socket::shake_hands(hub, &mut socket, &ours, &theirs).await?;
    Ok((socket, peer))
}

fn nonce_of<T>(response: &Response<T>) -> Option<String> {
    let value = response.headers().get(NONCE_HEADER)?;
    value.to_str().ok().map(str::to_owned)
}

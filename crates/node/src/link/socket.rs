//! A WebSocket that carries frames.

use super::{Error, Hub, Peer, handshake};
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use wire::Frame;

/// HTTP header in which each end sends its nonce.
pub(super) const NONCE_HEADER: &str = "x-sardinebank-nonce";

pub(super) type Socket = WebSocketStream<TcpStream>;
type Sink = futures::stream::SplitSink<Socket, Message>;

pub(super) fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(wire::MAX_FRAME_BYTES))
        .max_frame_size(Some(wire::MAX_FRAME_BYTES))
}

/// Exchanges hello frames, in which each end proves knowledge of a key with the other's nonce.
pub(super) async fn shake_hands(
    hub: &Hub,
    socket: &mut Socket,
    ours: &str,
    theirs: &str,
) -> Result<Peer, Error> {
    let hello = handshake::hello(&hub.settings.member, &hub.settings.keys, theirs);
    let frame = wire::encode(&Frame::Hello(hello))?;
    socket.send(Message::Binary(frame)).await?;
    let Frame::Hello(hello) = read(socket).await? else {
        return Err(Error::Greeting);
    };
    let peer = handshake::verify(hello, &hub.settings.keys, ours)?;
    if peer.node == hub.settings.member.node {
        return Err(Error::Greeting);
    }
    Ok(peer)
}

/// Reads the next frame.
pub(super) async fn read<S>(socket: &mut S) -> Result<Frame, Error>
where
    S: StreamExt<Item = Result<Message, tokio_tungstenite::tungstenite::Error>> + Unpin,
{
    loop {
        match socket.next().await.ok_or(Error::Closed)?? {
            Message::Binary(bytes) => return Ok(wire::decode(&bytes)?),
            Message::Ping(_) | Message::Pong(_) => {}
            _ => return Err(Error::Closed),
        }
    }
}

/// Writes queued frames until the queue is closed or the connection fails.
pub(super) async fn write(
    mut sink: Sink,
    mut frames: mpsc::Receiver<Bytes>,
    limit: Duration,
) -> Result<(), Error> {
    while let Some(frame) = frames.recv().await {
        let send = async {
            sink.feed(Message::Binary(frame)).await?;
            while let Ok(frame) = frames.try_recv() {
                sink.feed(Message::Binary(frame)).await?;
            }
            sink.flush().await
        };
        timeout(limit, send).await.map_err(|_| Error::Closed)??;
    }
    Ok(())
}

//! Links that this node opens: one to each other node.

use super::frame::Frame;
use super::listen::config;
use super::serve::{Words, beat, serve};
use crate::app::App;
use crate::backoff::Backoff;
use crate::upstream::watch;
use contract::Set;
use futures::{SinkExt, StreamExt};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::broadcast::error::RecvError;
use tokio::time::{sleep, timeout};
use tokio_tungstenite::{client_async_with_config, tungstenite};

/// Time to open a link.
const OPEN_TIME: Duration = Duration::from_millis(600);
/// First pause before a link is opened again; it doubles up to the longest.
const PAUSE: Duration = Duration::from_millis(100);
/// Longest pause before a link is opened again.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// Pause between two looks for new nodes.
const LOOK: Duration = Duration::from_millis(200);

/// Keeps a link to each other node for as long as this one runs.
pub async fn dial(app: Arc<App>) {
    let mut dialed: Set<SocketAddrV4> = Set::default();
    loop {
        let links: Vec<_> = {
            let state = app.state();
            let members = state.members.all().map(|member| member.link);
            state.seeds.iter().copied().chain(members).collect()
        };
        for link in links {
            if link != app.site.link && dialed.insert(link) {
                tokio::spawn(keep(Arc::clone(&app), link));
            }
        }
        sleep(LOOK).await;
    }
}

async fn keep(app: Arc<App>, peer: SocketAddrV4) {
    let name = peer.to_string();
    let mut backoff = Backoff::new(PAUSE, LONGEST_PAUSE);
    loop {
        let opened = tokio::time::Instant::now();
        match tell(&app, peer).await {
            Ok(()) => log::info!(event = 1710, peer = name.as_str(); "link closed"),
            Err(error) => {
                log::debug!(event = 1715, peer = name.as_str(); "link down: {error}")
            }
        }
        if opened.elapsed() > LONGEST_PAUSE {
            backoff.reset();
        }
        backoff.wait().await;
    }
}

/// Opens a link and tells the other node what this one knows, until the link ends.
async fn tell(app: &App, address: SocketAddrV4) -> Result<(), tungstenite::Error> {
    let open = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        watch(&stream)?;
        client_async_with_config(format!("ws://{address}/"), stream, Some(config())).await
    };
    let opened = timeout(OPEN_TIME, open).await;
    let (mut link, _) = opened.map_err(std::io::Error::from)??;
    let mut beats = app.beats.subscribe();
    let first = [
        Frame::Hello(app.member().into()),
        beat(app, Words::whole(app)),
    ];
    for message in first.iter().filter_map(Frame::encode) {
        link.send(message).await?;
    }
    loop {
        tokio::select! {
            message = beats.recv() => match message {
                Ok(message) => link.send(message).await?,
                Err(RecvError::Lagged(_)) => {
                    if let Some(message) = beat(app, Words::whole(app)).encode() {
                        link.send(message).await?;
                    }
                }
                Err(RecvError::Closed) => return Ok(()),
            },
            message = link.next() => {
                let Some(message) = message.transpose()? else {
                    return Ok(());
                };
                let Some(frame) = Frame::decode(&message) else {
                    continue;
                };
                for answer in serve(app, &mut None, frame) {
                    link.send(answer).await?;
                }
            }
        }
    }
}

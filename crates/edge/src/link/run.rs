//! One open link, from its first frame to its last.

use super::frame::Frame;
use super::outbox::Outbox;
use super::batch::{ListId, Batch};
use super::handle::{close_link, handle};
use crate::app::App;
use futures::{SinkExt, StreamExt};
use route::NodeName;
use route::member::Member;
use route::relay::{LinkId, Scope};
use std::io;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::broadcast::error::RecvError;
use tokio::time::timeout;
use tokio_tungstenite::{WebSocketStream, tungstenite};

/// Time for the other node's name.
const HELLO_TIME: Duration = Duration::from_millis(600);
/// Time without a frame after which a link is given up.
const SILENCE: Duration = Duration::from_secs(3);
/// Time for which a link stays open that this node no longer needs: the other one may.
const LINGER: Duration = Duration::from_secs(2);

type Link = WebSocketStream<TcpStream>;

/// Why a link ended.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection failed.
    #[error(transparent)]
    Connection(#[from] io::Error),
    /// The protocol of links was broken.
    #[error(transparent)]
    Protocol(#[from] tungstenite::Error),
    /// Nothing came for too long.
    #[error("nothing came in time")]
    Silent,
    /// The first frame isn't the name of a node.
    #[error("the other side doesn't say who it is")]
    Nameless,
    /// There is another link to the same node.
    #[error("another link to the node is open")]
    Double,
    /// The other side has closed it.
    #[error("closed by the other side")]
    Closed,
}

/// What a link has told so far.
struct Sent {
    peer: NodeName,
    outbox: Outbox,
    list: Option<(Scope, ListId)>,
    /// Since when this node doesn't need the link, which it opened.
    unneeded: Option<Instant>,
}

/// Runs an open link until it ends; the address is that of the other node where this one opened it.
pub async fn run(
    app: &Arc<App>,
    mut link: Link,
    opened: Option<SocketAddrV4>,
) -> Result<(), Error> {
    if let Some(own) = Frame::Hello(app.member().into()).encode() {
        link.send(own).await?;
    }
    let mut batches = app.batches.subscribe();
    let first = timeout(HELLO_TIME, link.next()).await;
    let first = first.map_err(|_| Error::Silent)?.ok_or(Error::Closed)??;
    let Some(Frame::Hello(hello)) = Frame::decode(&first) else {
        return Err(Error::Nameless);
    };
    let member = Member::from(hello);
    let peer = member.node.clone();
    let id = register(app, member, opened).ok_or(Error::Double)?;
    let guard = Open {
        app,
        peer: peer.clone(),
        id,
    };
    let mut sent = Sent {
        outbox: Outbox::new(app, peer.clone()),
        peer,
        list: None,
        unneeded: None,
    };
    loop {
        tokio::select! {
            batch = batches.recv() => match batch {
                Ok(batch) => {
                    if !app.state().relays.is_open(&sent.peer, guard.id) {
                        return Err(Error::Double);
                    }
                    tell(app, &mut link, &mut sent, &batch).await?;
                    if opened.is_some() && is_over(app, &mut sent) {
                        link.close(None).await?;
                        return Ok(());
                    }
                }
                // The next batch tells the same and more.
                Err(RecvError::Lagged(_)) => (),
                Err(RecvError::Closed) => return Ok(()),
            },
            message = timeout(SILENCE, link.next()) => {
                let message = message.map_err(|_| Error::Silent)?.ok_or(Error::Closed)??;
                let Some(frame) = Frame::decode(&message) else {
                    continue;
                };
                for answer in handle(app, &sent.peer, frame) {
                    link.send(answer).await?;
                }
            }
        }
    }
}

/// Notes an open link to a node; none when another one assignments.
fn register(app: &App, member: Member, opened: Option<SocketAddrV4>) -> Option<LinkId> {
    let mut state = app.state();
    let peer = member.node.clone();
    let now = Instant::now();
    state.members.add(member);
    let id = state
        .relays
        .open(now, &app.site.node, &peer, opened.is_some())?;
    if let Some(address) = opened {
        state.relays.released(address);
    }
    app.heartbeat_requested.notify_one();
    Some(id)
}

/// Tells what the batch holds for this link.
async fn tell(app: &App, link: &mut Link, sent: &mut Sent, batch: &Batch) -> Result<(), Error> {
    let now = Instant::now();
    let role = app.state().relays.role_for(now, &sent.peer);
    let list = batch.presences.get(&role.scope);
    if let Some((id, message)) = list.filter(|(id, _)| sent.list != Some((role.scope, *id))) {
        sent.list = Some((role.scope, *id));
        link.feed(message.clone()).await?;
    }
    let news = sent.outbox.take(app, now, role);
    if let Some(message) = news.and_then(|news| news.encode()) {
        link.feed(message).await?;
    }
    if let Some(message) = batch.heartbeats.get(&role) {
        link.feed(message.clone()).await?;
    }
    link.flush().await?;
    Ok(())
}

/// Whether this node hasn't needed the link for a while.
fn is_over(app: &App, sent: &mut Sent) -> bool {
    let state = app.state();
    let now = Instant::now();
    let needed = state.relays.keeps(&sent.peer) || state.relays.attached(now, &sent.peer).is_some();
    if needed {
        sent.unneeded = None;
        return false;
    }
    let since = *sent.unneeded.get_or_insert(now);
    now.saturating_duration_since(since) >= LINGER
}

/// An open link; its end is noted when the value goes.
struct Open<'a> {
    app: &'a App,
    peer: NodeName,
    id: LinkId,
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        close_link(self.app, &self.peer, self.id);
    }
}

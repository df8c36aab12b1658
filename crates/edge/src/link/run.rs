//! Runs an open link.

use super::batch::Batch;
use super::frame::Frame;
use super::handle::{close_link, handle};
use super::outbox::Outbox;
use crate::app::App;
use futures::{SinkExt, StreamExt};
use route::NodeName;
use route::member::Member;
use route::relay::{Delivery, LinkId, Step};
use std::io;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::broadcast::Receiver;
use tokio::sync::broadcast::error::RecvError;
use tokio::time::{timeout, timeout_at};
use tokio_tungstenite::{WebSocketStream, tungstenite};

/// Timeout for the hello frame of the other node.
const HELLO_TIMEOUT: Duration = Duration::from_millis(600);
/// Time without a frame after which a link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a link stays open that this node no longer needs: the other node may need it.
const UNNEEDED_TIMEOUT: Duration = Duration::from_secs(2);

type Link = WebSocketStream<TcpStream>;

/// Why a link ended.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection failed.
    #[error(transparent)]
    Connection(#[from] io::Error),
    /// The WebSocket protocol failed.
    #[error(transparent)]
    Protocol(#[from] tungstenite::Error),
    /// The link didn't open, or no frame came, in time.
    #[error("timed out")]
    Timeout,
    /// The first frame isn't a hello.
    #[error("the first frame is not a hello")]
    NoHello,
    /// Another link to the same node is open.
    #[error("another link to the same node is open")]
    Duplicate,
    /// The other node has closed the link.
    #[error("closed by the other node")]
    Closed,
}

/// State of the sending side of a link.
struct Sender {
    peer: NodeName,
    outbox: Outbox,
    list: Delivery,
    /// Time since which this node hasn't needed the link; only checked if this node opened it.
    unneeded: Option<Instant>,
}

/// Runs an open link until it ends; `opened` is the other node's address if this node opened it.
pub async fn run(
    app: &Arc<App>,
    mut link: Link,
    opened: Option<SocketAddrV4>,
) -> Result<(), Error> {
    if let Some(own) = Frame::Hello(app.member().into()).encode() {
        link.send(own).await?;
    }
    let batches = app.batches.subscribe();
    let first = timeout(HELLO_TIMEOUT, link.next()).await;
    let first = first.map_err(|_| Error::Timeout)?.ok_or(Error::Closed)??;
    let Some(Frame::Hello(hello)) = Frame::decode(&first) else {
        return Err(Error::NoHello);
    };
    let member = Member::from(hello);
    let peer = member.node.clone();
    let id = register(app, member, opened).ok_or(Error::Duplicate)?;
    let mut guard = Guard {
        app,
        peer: peer.clone(),
        id,
        reason: "cancelled".to_owned(),
    };
    let sender = Sender {
        outbox: Outbox::new(app, peer.clone()),
        peer,
        list: Delivery::default(),
        unneeded: None,
    };
    let ended = exchange(app, &mut link, sender, batches, id, opened.is_some()).await;
    guard.reason = match &ended {
        Ok(()) => "not needed".to_owned(),
        Err(error) => error.to_string(),
    };
    ended
}

/// Sends batches and handles frames until the link ends.
async fn exchange(
    app: &Arc<App>,
    link: &mut Link,
    mut sender: Sender,
    mut batches: Receiver<Arc<Batch>>,
    id: LinkId,
    opened_here: bool,
) -> Result<(), Error> {
    let mut last_message = Instant::now();
    loop {
        tokio::select! {
            batch = batches.recv() => match batch {
                Ok(batch) => {
                    if !app.state().relays.is_current(&sender.peer, id) {
                        return Err(Error::Duplicate);
                    }
                    send(app, link, &mut sender, &batch).await?;
                    if opened_here && is_unneeded(app, &mut sender) {
                        link.close(None).await?;
                        return Ok(());
                    }
                }
                // Later batches supersede the skipped ones.
                Err(RecvError::Lagged(_)) => (),
                Err(RecvError::Closed) => return Ok(()),
            },
            // Batches end this wait several times a second, so the time counts from the last message.
            message = timeout_at((last_message + IDLE_TIMEOUT).into(), link.next()) => {
                let message = message.map_err(|_| Error::Timeout)?.ok_or(Error::Closed)??;
                last_message = Instant::now();
                let Some(frame) = Frame::decode(&message) else {
                    continue;
                };
                for answer in handle(app, &sender.peer, frame) {
                    link.send(answer).await?;
                }
            }
        }
    }
}

/// Registers an open link to a node; none when another link to the node is kept instead.
fn register(app: &App, member: Member, opened: Option<SocketAddrV4>) -> Option<LinkId> {
    let mut state = app.state();
    let peer = member.node.clone();
    let now = Instant::now();
    state.members.add(member);
    let id = state
        .relays
        .add_link(now, &app.site.node, &peer, opened.is_some())?;
    if let Some(address) = opened {
        state.relays.reset_backoff(address);
    }
    app.heartbeat_requested.notify_one();
    Some(id)
}

/// Sends the frames of a batch that are meant for this link, and queued announcements.
async fn send(app: &App, link: &mut Link, sender: &mut Sender, batch: &Batch) -> Result<(), Error> {
    let now = Instant::now();
    let role = app.state().relays.role_for(now, &sender.peer);
    let list = batch.presences.get(&role.scope);
    let message = match sender
        .list
        .advance(now, role.scope, list.map(|(id, _)| *id))
    {
        Step::Keep => None,
        Step::Replace => list.map(|(_, message)| message.clone()),
        Step::Clear => Frame::Presences(Vec::new()).encode(),
    };
    if let Some(message) = message {
        link.feed(message).await?;
    }
    let notices = sender.outbox.take(app, now, role);
    if let Some(message) = notices.and_then(|frame| frame.encode()) {
        link.feed(message).await?;
    }
    if let Some(message) = batch.heartbeats.get(&role) {
        link.feed(message.clone()).await?;
    }
    link.flush().await?;
    Ok(())
}

/// Whether this node hasn't needed the link for [`UNNEEDED_TIMEOUT`].
fn is_unneeded(app: &App, sender: &mut Sender) -> bool {
    let state = app.state();
    let now = Instant::now();
    let needed = state.relays.should_keep(&sender.peer)
        || state.relays.attachment(now, &sender.peer).is_some();
    if needed {
        sender.unneeded = None;
        return false;
    }
    let since = *sender.unneeded.get_or_insert(now);
    now.saturating_duration_since(since) >= UNNEEDED_TIMEOUT
}

/// An open link; dropping the guard records its end.
struct Guard<'a> {
    app: &'a App,
    peer: NodeName,
    id: LinkId,
    /// Why the link ended, for the log.
    reason: String,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        close_link(self.app, &self.peer, self.id, &self.reason);
    }
}

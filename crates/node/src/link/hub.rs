//! The links of a node.

use super::address::Addresses;
use super::relay::Relays;
use super::socket::{self, Socket};
use super::table::{Link, Table};
use super::{Error, Event, Peer, Received, Settings, dial, listen};
use bytes::Bytes;
use contract::{Config, NodeId};
use futures::StreamExt;
use settings::Keyring;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;
use tokio::net::TcpListener;
use tokio::sync::{broadcast, mpsc, oneshot};
use wire::{Frame, Relay};

/// Maximum number of queued link events. Reads from links block while the queue is full.
const MAX_EVENTS: usize = 4096;

/// All links of a node. Components send frames through it and subscribe to received frames.
#[derive(Debug)]
pub struct Hub {
    pub(super) settings: Settings,
    table: Table,
    addresses: Addresses,
    connections: AtomicU64,
    sent_bytes: AtomicU64,
    relay_sequence: AtomicU64,
    relays: Relays,
    received: broadcast::Sender<Arc<Received>>,
    events: mpsc::Sender<Event>,
    event_receiver: Mutex<Option<mpsc::Receiver<Event>>>,
}

impl Hub {
    /// Creates a hub without links.
    ///
    /// ```
    /// let hub = node::link::Hub::new(node::link::Settings::default());
    /// assert!(hub.send("n2", wire::Frame::Fetch(wire::Fetch { after: 0 })).is_err());
    /// ```
    pub fn new(settings: Settings) -> Arc<Self> {
        let received = broadcast::Sender::new(settings.subscriber_queue);
        let (events, event_receiver) = mpsc::channel(MAX_EVENTS);
        Arc::new(Self {
            settings,
            table: Table::default(),
            addresses: Addresses::default(),
            connections: AtomicU64::new(0),
            sent_bytes: AtomicU64::new(0),
            relay_sequence: AtomicU64::new(0),
            relays: Relays::default(),
            received,
            events,
            event_receiver: Mutex::new(Some(event_receiver)),
        })
    }

    /// Returns the keys shared by the nodes. A change of the keys applies to later connections only.
    ///
    /// ```
    /// let hub = node::link::Hub::new(node::link::Settings::default());
    /// assert!(hub.keys().keys().is_empty());
    /// ```
    pub fn keys(&self) -> Keyring {
        self.settings.keys.clone()
    }

    /// Opens the link port and accepts connections in the background. Returns the bound address.
    pub async fn listen(self: &Arc<Self>, address: SocketAddr) -> Result<SocketAddr, Error> {
        let listener = TcpListener::bind(address).await?;
        let bound = listener.local_addr()?;
        tokio::spawn(listen::run(Arc::clone(self), listener));
        Ok(bound)
    }

    /// Queues a frame for a node and opens a connection first if there is no link. On an error the
    /// frame is not delivered; on success it may still be lost with the link.
    pub fn send(self: &Arc<Self>, to: &str, frame: Frame) -> Result<(), Error> {
        let bytes = self.encode(&frame)?;
        self.table.mark_used(to);
        match self.table.send(to, bytes.clone()) {
            Err(Error::Unlinked(node)) => {
                let address = self.addresses.of(to).ok_or(Error::Unlinked(node))?;
                self.connect(to, address);
                match self.table.buffer(to, bytes.clone()) {
                    true => Ok(()),
                    false => self.table.send(to, bytes),
                }
            }
            sent => sent,
        }
    }

    /// Queues a frame for all members. Unless this node is linked to every member, the frame is
    /// sent as a relay frame, which the receivers forward.
    pub fn broadcast(&self, frame: &Frame) {
        let is_full_mesh = self.table.linked().len() + 1 >= self.addresses.count();
        let encoded = match is_full_mesh {
            true => self.encode(frame),
            false => self.relay(frame),
        };
        if let Ok(bytes) = encoded {
            self.table.broadcast(&bytes, None);
        }
    }

    /// Subscribes to received frames other than configuration frames: slots, ratings, suspects,
    /// spend, leave.
    ///
    /// ```
    /// let hub = node::link::Hub::new(node::link::Settings::default());
    /// assert!(hub.subscribe().try_recv().is_err());
    /// ```
    pub fn subscribe(&self) -> broadcast::Receiver<Arc<Received>> {
        self.received.subscribe()
    }

    /// Returns the nodes to which a link is up.
    ///
    /// ```
    /// let hub = node::link::Hub::new(node::link::Settings::default());
    /// assert!(hub.linked().is_empty());
    /// ```
    pub fn linked(&self) -> Vec<NodeId> {
        self.table.linked()
    }

    /// Returns whether a link to a node is up.
    ///
    /// ```
    /// let hub = node::link::Hub::new(node::link::Settings::default());
    /// assert!(!hub.is_linked("n2"));
    /// ```
    pub fn is_linked(&self, node: &str) -> bool {
        self.table.is_linked(node)
    }

    /// Returns the total size of the frames encoded for sending since the node started.
    ///
    /// ```
    /// let hub = node::link::Hub::new(node::link::Settings::default());
    /// assert_eq!(hub.sent_bytes(), 0);
    /// ```
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    /// Replaces the link addresses by those of a configuration's members.
    pub fn update_addresses(&self, config: &Config) {
        self.addresses.replace(config);
    }

    /// Opens a connection to a node in the background, unless it is linked or being dialed.
    pub fn connect(self: &Arc<Self>, node: &str, address: String) {
        if !self.table.start_dial(node) {
            return;
        }
        let (hub, node) = (Arc::clone(self), node.to_owned());
        tokio::spawn(async move {
            hub.dial(&address).await;
            hub.table.end_dial(&node);
        });
    }

    /// Closes the link to a node, for example when it is silent. Returns whether there was one.
    pub fn close(&self, node: &str) -> bool {
        self.table.close(node)
    }

    /// Returns the nodes whose links have carried only configuration frames for the idle timeout.
    pub(crate) fn idle_links(&self) -> Vec<NodeId> {
        self.table.idle(self.settings.idle_timeout)
    }

    /// Takes the receiver of link events. Returns `None` after the first call.
    pub(crate) fn take_events(&self) -> Option<mpsc::Receiver<Event>> {
        let mut event_receiver = self
            .event_receiver
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        event_receiver.take()
    }

    /// Queues a frame on a link that is up. Never opens a connection.
    pub(crate) fn send_if_linked(&self, to: &str, frame: &Frame) -> Result<(), Error> {
        self.table.send(to, self.encode(frame)?)
    }

    fn relay(&self, frame: &Frame) -> Result<Bytes, Error> {
        let relay = Relay {
            frame: wire::encode(frame)?.to_vec(),
            incarnation: self.settings.member.incarnation,
            node: self.settings.member.node.clone(),
            sequence: self.relay_sequence.fetch_add(1, Ordering::Relaxed),
        };
        self.relays.insert(&relay);
        self.encode(&Frame::Relay(relay))
    }

    /// Forwards a relayed frame to the other links and returns its content, unless it was seen
    /// before.
    fn forward(&self, relay: Relay, received_from: &str) -> Result<Option<Received>, Error> {
        if !self.relays.insert(&relay) {
            return Ok(None);
        }
        let received = Received {
            from: relay.node.clone(),
            incarnation: relay.incarnation,
            frame: wire::decode(&relay.frame)?,
        };
        let bytes = self.encode(&Frame::Relay(relay))?;
        self.table.broadcast(&bytes, Some(received_from));
        Ok(Some(received))
    }

    async fn dial(self: &Arc<Self>, address: &str) {
        match dial::dial(self, address).await {
            Ok((socket, peer)) => {
                self.register(socket, peer, self.settings.member.node.clone());
            }
            Err(error) => log::debug!(event = 1223; "failed to connect to {address}: {error}"),
        }
    }

    /// Registers an authenticated connection and starts to serve it, unless another one is kept.
    pub(super) fn register(self: &Arc<Self>, socket: Socket, peer: Peer, dialer: NodeId) {
        let id = self.connections.fetch_add(1, Ordering::Relaxed);
        let (frames, queue) = mpsc::channel(self.settings.send_queue);
        let (start, started) = oneshot::channel();
        let (hub, remote) = (Arc::clone(self), peer.clone());
        let task = tokio::spawn(async move {
            // Waits until the link is in the table, so that no frame is handled before that.
            if started.await.is_ok() {
                hub.run(socket, remote, id, queue).await;
            }
        });
        let link = Link {
            id,
            incarnation: peer.incarnation,
            dialer,
            frames,
            task: task.abort_handle(),
            used: Mutex::new(Instant::now()),
        };
        if self.table.insert(&peer, link) {
            let _ = start.send(());
        }
    }

    async fn run(
        self: Arc<Self>,
        socket: Socket,
        peer: Peer,
        id: u64,
        queue: mpsc::Receiver<Bytes>,
    ) {
        let node = peer.node.clone();
        log::info!(event = 1220, incarnation = peer.incarnation; "link to {node} is up");
        let _ = self.events.send(Event::Up(peer.clone())).await;
        let (sink, mut stream) = socket.split();
        let ended = tokio::select! {
            ended = socket::write(sink, queue, self.settings.write_timeout) => ended,
            ended = self.receive(&mut stream, &peer, id) => ended,
        };
        if self.table.remove(&node, id) {
            log::info!(event = 1224; "link to {node} is down: {ended:?}");
            let _ = self.events.send(Event::Down(node)).await;
        }
    }

    async fn receive(
        &self,
        stream: &mut futures::stream::SplitStream<Socket>,
        peer: &Peer,
        id: u64,
    ) -> Result<(), Error> {
        loop {
            let frame = socket::read(stream).await?;
            if !self.table.is_current(&peer.node, id) {
                return Ok(());
            }
            match frame {
                Frame::Relay(relay) => {
                    if let Some(received) = self.forward(relay, &peer.node)? {
                        self.deliver_relayed(&peer.node, received).await;
                    }
                }
                frame => self.deliver(peer, frame).await,
            }
        }
    }

    async fn deliver(&self, peer: &Peer, frame: Frame) {
        if !is_config_frame(&frame) {
            self.table.mark_used(&peer.node);
            self.publish(Received {
                from: peer.node.clone(),
                incarnation: peer.incarnation,
                frame: frame.clone(),
            });
        }
        if is_config_frame(&frame) || matches!(frame, Frame::Leave(_)) {
            let event = Event::Frame(peer.node.clone(), frame);
            let _ = self.events.send(event).await;
        }
    }

    /// Delivers the content of a relayed frame. Configuration frames are valid only on the link to
    /// their sender, so relayed ones are ignored.
    async fn deliver_relayed(&self, link: &str, received: Received) {
        if is_config_frame(&received.frame) {
            return;
        }
        if let Frame::Leave(leave) = &received.frame {
            let event = Event::Frame(link.to_owned(), Frame::Leave(leave.clone()));
            let _ = self.events.send(event).await;
        }
        self.publish(received);
    }

    fn publish(&self, received: Received) {
        // Fails only if there is no subscriber.
        let _ = self.received.send(Arc::new(received));
    }

    fn encode(&self, frame: &Frame) -> Result<Bytes, Error> {
        let bytes = wire::encode(frame)?;
        self.sent_bytes
            .fetch_add(bytes.len() as u64, Ordering::Relaxed);
        Ok(bytes)
    }
}

fn is_config_frame(frame: &Frame) -> bool {
    matches!(
        frame,
        Frame::Beat(_)
            | Frame::Proof(_)
            | Frame::Touch(_)
            | Frame::Delta(_)
            | Frame::Fetch(_)
            | Frame::Snapshot(_)
    )
}

//! Another node of the fleet, played by a test.

use super::Node;
use crate::Error;
use ciborium::Value as Cbor;
use futures::{SinkExt, StreamExt};
use serde_json::{Value, json};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::task::JoinHandle;
use tokio::time::interval;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::{WebSocketStream, client_async, tungstenite};

/// Interval between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

type Link = WebSocketStream<TcpStream>;

/// Another node of the fleet, played by a test: it sends frames of any build over a link to a node. The
/// link is closed when it is dropped.
#[derive(Debug)]
pub struct Peer {
    heartbeat: Arc<Mutex<Value>>,
    frames: UnboundedSender<Value>,
    received: Arc<Mutex<Vec<Cbor>>>,
    /// It ends with the link; a test sees that at the node.
    task: JoinHandle<Result<(), tungstenite::Error>>,
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Peer {
    /// Opens a link to a node, and sends this heartbeat until another one is set.
    pub async fn connect(node: &Node, name: &str, heartbeat: Value) -> Result<Self, Error> {
        let address = node.link_address();
        let socket = |source| Error::Socket { address, source };
        let stream = TcpStream::connect(address).await.map_err(socket)?;
        let link = client_async(format!("ws://{address}/"), stream).await;
        let mut link = link
            .map_err(|error| socket(std::io::Error::other(error)))?
            .0;
        // Nothing listens there: the link is open already.
        let own = json!(([127, 0, 1, 250], 1));
        let hello = json!({"Hello": {
            "node": name, "zone": "z-0", "requests": own, "link": own, "capacity": 250,
        }});
        let sent = link.send(encode(&hello)).await;
        sent.map_err(|error| socket(std::io::Error::other(error)))?;
        let heartbeat = Arc::new(Mutex::new(heartbeat));
        let received = Arc::default();
        let (frames, queue) = mpsc::unbounded_channel();
        let task = tokio::spawn(run(link, heartbeat.clone(), queue, Arc::clone(&received)));
        Ok(Self {
            heartbeat,
            frames,
            received,
            task,
        })
    }

    /// Sets the heartbeat to send from now on.
    pub fn set_heartbeat(&self, heartbeat: Value) {
        *lock(&self.heartbeat) = heartbeat;
    }

    /// Sends a frame.
    pub fn send(&self, frame: Value) {
        // It fails only once the link is closed, which the test sees at the node.
        let _ = self.frames.send(frame);
    }

    /// Frames of a kind that the node has sent.
    pub fn received(&self, kind: &str) -> Vec<Cbor> {
        let frames = lock(&self.received);
        let bodies = frames.iter().filter_map(|frame| {
            let (name, body) = frame.as_map()?.first()?;
            (name.as_text() == Some(kind)).then(|| body.clone())
        });
        bodies.collect()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn encode(frame: &Value) -> Message {
    let mut bytes = Vec::new();
    ciborium::into_writer(frame, &mut bytes).expect("a value in memory");
    Message::Binary(bytes.into())
}

async fn run(
    mut link: Link,
    heartbeat: Arc<Mutex<Value>>,
    mut frames: UnboundedReceiver<Value>,
    received: Arc<Mutex<Vec<Cbor>>>,
) -> Result<(), tungstenite::Error> {
    let mut ticks = interval(HEARTBEAT_INTERVAL);
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                let heartbeat = lock(&heartbeat).clone();
                link.send(encode(&json!({"Beat": heartbeat}))).await?;
            }
            Some(frame) = frames.recv() => link.send(encode(&frame)).await?,
            message = link.next() => {
                let Some(message) = message.transpose()? else {
                    return Ok(());
                };
                if let Ok(frame) = ciborium::from_reader(&message.into_data()[..]) {
                    lock(&received).push(frame);
                }
            }
        }
    }
}

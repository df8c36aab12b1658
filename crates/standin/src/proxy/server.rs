//! Listener of the proxy.

use super::Faults;
use super::forwarder::{Direction, Forwarder};
use crate::Error;
use crate::serve::loopback;
use socket2::SockRef;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;

const REBIND_PAUSE: Duration = Duration::from_millis(20);
/// Connections that wait to be accepted.
const BACKLOG: i32 = 1024;
/// Time for the connection that fills the queue. It isn't established if the queue is full already.
const FILL_TIMEOUT: Duration = Duration::from_millis(50);

/// Settings of a proxy.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to bind.
    pub listen: SocketAddr,
    /// Seed of the random jitter.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: loopback(0),
            seed: 1,
        }
    }
}

/// A running proxy; when dropped, it stops and resets its connections.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    shared: Arc<Shared>,
    accept: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    faults: watch::Sender<Faults>,
    target: watch::Sender<SocketAddr>,
    /// Signals the connections opened since the last call of `silence_open`, which replaces it.
    frozen: Mutex<watch::Sender<bool>>,
    /// Senders replaced by `silence_open`, kept alive so that their connections stay silent.
    frozen_senders: Mutex<Vec<watch::Sender<bool>>>,
    cut: watch::Sender<u64>,
    connections: AtomicU64,
    /// Local addresses of the connections to the target.
    outgoing: Mutex<HashSet<SocketAddr>>,
    seed: u64,
}

impl Proxy {
    /// Starts a proxy that forwards connections to an address.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// use standin::proxy::{Faults, Proxy};
    /// let table = standin::table::Server::start(Default::default()).await?;
    /// let proxy = Proxy::start(table.address(), Default::default()).await?;
    /// let url = format!("http://{}/stats", proxy.address());
    /// assert!(reqwest::get(&url).await.is_ok());
    /// proxy.set(Faults::lose_answers());
    /// assert!(reqwest::get(&url).await.is_err());
    /// # Ok::<(), standin::Error>(()) }).unwrap();
    /// ```
    pub async fn start(target: SocketAddr, settings: Settings) -> Result<Self, Error> {
        let listener = bind(settings.listen).await?;
        let address = listener.local_addr().map_err(|source| Error::Socket {
            address: settings.listen,
            source,
        })?;
        let shared = Arc::new(Shared {
            faults: watch::Sender::new(Faults::default()),
            target: watch::Sender::new(target),
            frozen: Mutex::new(watch::Sender::new(false)),
            frozen_senders: Mutex::default(),
            cut: watch::Sender::new(0),
            connections: AtomicU64::new(0),
            outgoing: Mutex::default(),
            seed: settings.seed,
        });
        let accept = tokio::spawn(Arc::clone(&shared).accept(listener, address));
        Ok(Self {
            address,
            shared,
            accept,
        })
    }

    /// Address the proxy listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Base URL for HTTP requests through the proxy.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Sets the faults, which also apply to open connections. With `refuse`, open connections are
    /// reset.
    pub fn set(&self, faults: Faults) {
        self.shared.faults.send_replace(faults);
        if faults.refuse {
            self.cut();
        }
    }

    /// Removes all faults, except that connections silenced by `silence_open` stay silent.
    pub fn heal(&self) {
        self.set(Faults::default());
    }

    /// Forwards subsequent connections to another address.
    pub fn retarget(&self, target: SocketAddr) {
        self.shared.target.send_replace(target);
    }

    /// Resets all open connections.
    pub fn cut(&self) {
        self.shared.cut.send_modify(|count| *count += 1);
    }

    /// Silences all open connections permanently; new connections are unaffected.
    pub fn silence_open(&self) {
        let fresh = watch::Sender::new(false);
        let mut frozen = lock(&self.shared.frozen);
        let old = std::mem::replace(&mut *frozen, fresh);
        old.send_replace(true);
        lock(&self.shared.frozen_senders).push(old);
    }

    /// Returns the number of connections accepted so far.
    pub fn connections(&self) -> u64 {
        self.shared.connections.load(Ordering::Relaxed)
    }

    /// Whether a connection that the target accepted from an address is one of this proxy.
    pub fn has_opened(&self, from: SocketAddr) -> bool {
        lock(&self.shared.outgoing).contains(&from)
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.accept.abort();
        self.cut();
    }
}

impl Shared {
    async fn accept(self: Arc<Self>, listener: TcpListener, address: SocketAddr) {
        let mut listener = Some(listener);
        let mut faults = self.faults.subscribe();
        let mut filler = None;
        loop {
            let current = *faults.borrow_and_update();
            if current.refuse || current.refuse_new {
                listener = None;
                let _ = faults.changed().await;
                continue;
            }
            let Some(open) = &listener else {
                listener = bind(address).await.ok();
                tokio::time::sleep(REBIND_PAUSE).await;
                continue;
            };
            if current.hang_new {
                let connection = fill_queue(open, address).await;
                let _ = faults.changed().await;
                let _ = SockRef::from(open).listen(BACKLOG);
                let local = connection.and_then(|stream| stream.local_addr().ok());
                filler = local.or(filler);
                continue;
            }
            tokio::select! {
                accepted = open.accept() => match accepted {
                    Ok((_, peer)) if Some(peer) == filler => filler = None,
                    Ok((stream, _)) => {
                        tokio::spawn(Arc::clone(&self).relay(stream));
                    }
                    Err(_) => (),
                },
                _ = faults.changed() => {}
            }
        }
    }

    async fn relay(self: Arc<Self>, client: TcpStream) {
        let mut cut = self.cut.subscribe();
        let frozen = lock(&self.frozen).subscribe();
        let number = self.connections.fetch_add(1, Ordering::Relaxed);
        let target = *self.target.borrow();
        let Ok(server) = TcpStream::connect(target).await else {
            reset(&client);
            return;
        };
        if let Ok(local) = server.local_addr() {
            lock(&self.outgoing).insert(local);
        }
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let (mut client, mut server) = (client, server);
        let seed = self.seed.wrapping_add(number.wrapping_mul(2));
        let up = Forwarder::new(Direction::Up, self.faults.subscribe(), frozen.clone(), seed);
        let down = Forwarder::new(Direction::Down, self.faults.subscribe(), frozen, seed + 1);
        let must_reset = {
            let (client_read, client_write) = client.split();
            let (server_read, server_write) = server.split();
            let up = up.run(client_read, server_write);
            let down = down.run(server_read, client_write);
            tokio::select! {
                _ = cut.changed() => true,
                must_reset = both(up, down) => must_reset,
            }
        };
        if must_reset {
            reset(&client);
            reset(&server);
        }
    }
}

/// Waits until both directions have ended or one must be reset, and returns whether to reset.
async fn both(up: impl Future<Output = bool>, down: impl Future<Output = bool>) -> bool {
    tokio::pin!(up, down);
    tokio::select! {
        must_reset = &mut up => must_reset || down.await,
        must_reset = &mut down => must_reset || up.await,
    }
}

/// Makes the following close send a TCP reset instead of an orderly shutdown.
fn reset(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}

/// Fills the queue of connections that wait to be accepted. The kernel then drops the packets that
/// would establish further ones.
async fn fill_queue(listener: &TcpListener, address: SocketAddr) -> Option<TcpStream> {
    SockRef::from(listener).listen(0).ok()?;
    let connection = timeout(FILL_TIMEOUT, TcpStream::connect(address)).await;
    connection.ok()?.ok()
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .map_err(|source| Error::Socket { address, source })
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

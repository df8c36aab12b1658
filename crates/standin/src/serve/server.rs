//! Rocket server on a loopback port.

use crate::Error;
use rand::Rng;
use rocket::config::{LogLevel, Shutdown as ShutdownSettings};
use rocket::fairing::AdHoc;
use rocket::{Build, Config, Rocket, Shutdown};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::net::TcpListener;
use tokio::sync::oneshot;

/// Ports below the ephemeral range, so that no outgoing connection takes one of them.
const LISTEN_PORTS: std::ops::Range<u16> = 10_000..32_000;

/// Maximum number of ports that `free_address` tries.
const MAX_PORT_ATTEMPTS: usize = 100;

/// A running HTTP server; it stops when dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    shutdown: Shutdown,
}

/// Creates a Rocket instance with logging disabled.
pub fn build() -> Rocket<Build> {
    rocket::custom(config(loopback(0)))
}

/// Returns the loopback address with a port; with port 0 the system chooses one.
///
/// ```
/// assert_eq!(standin::serve::loopback(80).to_string(), "127.0.0.1:80");
/// ```
pub fn loopback(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}

/// Returns a loopback address on which nothing listens at present and that this process hasn't
/// returned before, so that tests that run in parallel don't get the same one. Its port is outside
/// the ephemeral range, so no outgoing connection can take it.
///
/// ```
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// use standin::serve::free_address;
/// assert_ne!(free_address().await?, free_address().await?);
/// # Ok::<(), standin::Error>(()) }).unwrap();
/// ```
pub async fn free_address() -> Result<SocketAddr, Error> {
    let mut last = loopback(0);
    for _ in 0..MAX_PORT_ATTEMPTS {
        last = loopback(next_port());
        if TcpListener::bind(last).await.is_ok() {
            return Ok(last);
        }
    }
    let source = std::io::ErrorKind::AddrInUse.into();
    Err(Error::Socket {
        address: last,
        source,
    })
}

/// Returns the port after the last one, from a random first one on.
fn next_port() -> u16 {
    static FIRST: LazyLock<u32> = LazyLock::new(|| rand::rng().random());
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let offset = FIRST.wrapping_add(count) % u32::from(LISTEN_PORTS.end - LISTEN_PORTS.start);
    LISTEN_PORTS.start + offset as u16
}

impl Server {
    /// Starts the server on an address and waits until it is bound.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// use standin::serve::{Server, build, loopback};
    /// let server = Server::start(build(), loopback(0)).await?;
    /// assert_ne!(server.address().port(), 0);
    /// # Ok::<(), standin::Error>(()) }).unwrap();
    /// ```
    pub async fn start(rocket: Rocket<Build>, address: SocketAddr) -> Result<Self, Error> {
        let (bound, wait) = oneshot::channel();
        let rocket =
            rocket
                .configure(config(address))
                .attach(AdHoc::on_liftoff("address", move |rocket| {
                    let config = rocket.config();
                    let _ = bound.send(SocketAddr::new(config.address, config.port));
                    Box::pin(async {})
                }));
        let launch_error = |error: rocket::Error| {
            let reason = error.to_string();
            Error::Launch { address, reason }
        };
        let rocket = rocket.ignite().await.map_err(launch_error)?;
        let shutdown = rocket.shutdown();
        let run = tokio::spawn(rocket.launch());
        match wait.await {
            Ok(address) => Ok(Self { address, shutdown }),
            Err(_) => match run.await {
                Ok(Err(error)) => Err(launch_error(error)),
                _ => Err(Error::Timeout("HTTP server start")),
            },
        }
    }

    /// Address the server is bound to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Base URL of the server.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }
}

fn config(address: SocketAddr) -> Config {
    Config {
        address: address.ip(),
        port: address.port(),
        log_level: LogLevel::Off,
        shutdown: ShutdownSettings {
            ctrlc: false,
            signals: Default::default(),
            grace: 0,
            mercy: 0,
            force: false,
            ..ShutdownSettings::default()
        },
        ..Config::default()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shutdown.clone().notify();
    }
}

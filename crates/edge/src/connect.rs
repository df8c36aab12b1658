//! Connections to backend servers: direct, or through another node while this node can't reach them.

use crate::app::App;
use crate::metrics;
use crate::stream::Stream;
use crate::tunnel::{self, Refusal, Tunnel};
use crate::upstream;
use route::reach::{Failure, Path, Reach};
use route::server::Listing;
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Timeout for a direct connect while the path is in doubt: well above a round trip, and it leaves time for a
/// tunnel within the timeout of a connect.
const DOUBTFUL_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout for opening a tunnel: four round trips between zones and a connect, on a busy node.
const TUNNEL_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout for a probe of the direct path.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time in which a probe is reset if connections are.
const RESET_TIME: Duration = Duration::from_millis(50);
/// Longest time until it is known whether the path is sound: the interval of the probes, a failed one and
/// some margin.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(900);
/// Interval at which that is checked.
const SETTLE_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which a probe is considered while the evidence doesn't change.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Why no connection was opened. Nothing was sent to the backend server.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The backend server can't be connected to.
    #[error("{0}")]
    Server(#[source] io::Error),
    /// This node has lost its path and no other node could carry the connection, which says nothing of
    /// the backend server.
    #[error("no path: {0}")]
    NoPath(#[source] io::Error),
}

/// Opens a connection to a backend server.
pub async fn connect(app: &App, server: &Listing) -> Result<Stream, Error> {
    let mut direct_error = None;
    let path = app.state().reach.path();
    if path != Path::Lost || app.helpers(server).is_empty() {
        match connect_direct(app, server).await {
            Ok(stream) => {
                count(app, "direct");
                return Ok(stream.into());
            }
            Err(error) => direct_error = Some(error),
        }
    }
    let path = app.state().reach.path();
    let helpers = match path {
        Path::Sound => Vec::new(),
        Path::Doubtful | Path::Lost => app.helpers(server),
    };
    let mut tunnel_error = None;
    for helper in helpers {
        let (address, node) = (helper.link_address, &app.site.node);
        match Tunnel::open(address, node, &server.id, TUNNEL_TIMEOUT).await {
            Ok(tunnel) => {
                count(app, "tunnel");
                return Ok(tunnel.into());
            }
            Err(error) => {
                log::info!(event = 1777, peer = helper.node.as_str(), server = server.id.as_str(); "no tunnel: {error}");
                tunnel_error = Some(error);
            }
        }
    }
    Err(classify(app, direct_error, tunnel_error))
}

/// Tells whether the backend server or the path has failed.
fn classify(app: &App, direct: Option<io::Error>, tunnel: Option<tunnel::Error>) -> Error {
    use tunnel::Error::Refused;
    let is_cut = app.state().is_cut(Instant::now());
    match (direct, tunnel) {
        // A node that reaches backend servers doesn't reach this one.
        (_, Some(error @ Refused(Refusal::ConnectionRefused | Refusal::Unreachable))) => {
            Error::Server(error.into())
        }
        (Some(error), _) if !is_cut => Error::Server(error),
        (_, Some(error)) => Error::NoPath(error.into()),
        (Some(error), None) => Error::NoPath(error),
        (None, None) => Error::NoPath(io::ErrorKind::HostUnreachable.into()),
    }
}

fn count(app: &App, path: &'static str) {
    let label = metrics::Path { path };
    app.metrics.connects.get_or_create(&label).inc();
}

/// Connects directly, and records the result as evidence. Gives up once the path is found lost.
pub(crate) async fn connect_direct(app: &App, server: &Listing) -> io::Result<TcpStream> {
    let limit = match app.state().reach.path() {
        Path::Sound => upstream::CONNECT_TIMEOUT,
        Path::Doubtful | Path::Lost => DOUBTFUL_TIMEOUT,
    };
    let connected = tokio::select! {
        connected = timeout(limit, upstream::connect(server.address)) => connected?,
        () = app.path_lost.notified() => return Err(io::ErrorKind::TimedOut.into()),
    };
    match &connected {
        Ok(_) => app.record_connect(),
        Err(error) => record_failure(app, server, error, false),
    }
    connected
}

/// Records a direct connect that failed. Errors of the own machine, such as a lack of descriptors, say
/// nothing of the path.
fn record_failure(app: &App, server: &Listing, error: &io::Error, is_probe: bool) {
    use io::ErrorKind::{
        ConnectionAborted, ConnectionRefused, ConnectionReset, HostUnreachable, NetworkUnreachable,
        TimedOut,
    };
    let failure = match error.kind() {
        TimedOut | HostUnreachable | NetworkUnreachable => Failure::Silent,
        ConnectionRefused => Failure::Refused,
        ConnectionReset | ConnectionAborted => Failure::Broken,
        _ => return,
    };
    app.record_failed_connection(&server.id, failure, is_probe);
}

/// Probes the direct path while it is in doubt or lost, for as long as the node runs.
pub async fn probe(app: Arc<App>) {
    loop {
        tokio::select! {
            () = app.probe_requested.notified() => (),
            () = sleep(CHECK_INTERVAL) => (),
        }
        if app.state().reach.start_probe(Instant::now()) {
            probe_once(&app).await;
        }
    }
}

/// Probes the direct path; returns whether it is sound.
async fn probe_once(app: &App) -> bool {
    let target = {
        let state = app.state();
        let has_failed = |id: &str| state.reach.has_failed(id);
        let target = state.pool.probe_target(rand::random(), has_failed);
        target.map(|target| (target.clone(), state.reach.is_broken()))
    };
    let Some((server, is_broken)) = target else {
        return false;
    };
    let probed = timeout(PROBE_TIMEOUT, probe_server(&server, is_broken)).await;
    let probed = probed.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
    log::debug!(event = 1778, server = server.id.as_str(), sound = probed.is_ok(); "direct path to backend servers probed");
    match &probed {
        Ok(()) => app.record_probe(),
        Err(error) => record_failure(app, &server, error, true),
    }
    probed.is_ok()
}

/// Connects to a backend server. Where connections break off after they were established, an empty line
/// is sent, which servers ignore before a request, and a reset is waited for.
async fn probe_server(server: &Listing, is_broken: bool) -> io::Result<()> {
    let mut stream = upstream::connect(server.address).await?;
    if !is_broken {
        return Ok(());
    }
    stream.write_all(b"\r\n").await?;
    match timeout(RESET_TIME, stream.read(&mut [0])).await {
        Ok(Err(error)) => Err(error),
        Ok(Ok(_)) | Err(_) => Ok(()),
    }
}

/// Checks whether a backend server refuses connections. While the direct path is lost, another node is
/// asked.
pub async fn is_refused(app: &App, server: &Listing) -> bool {
    let refused = |error: &io::Error| error.kind() == io::ErrorKind::ConnectionRefused;
    if app.state().reach.path() != Path::Lost {
        match connect_direct(app, server).await {
            Err(error) if refused(&error) => (),
            Ok(_) | Err(_) => return false,
        }
        if is_sound(app).await {
            return true;
        }
    }
    matches!(connect(app, server).await, Err(Error::Server(error)) if refused(&error))
}

/// Whether another node, which reaches backend servers, has found that this one can't be connected to.
pub fn is_confirmed(error: &io::Error) -> bool {
    error
        .get_ref()
        .is_some_and(|source| source.is::<tunnel::Error>())
}

/// Waits until it is known whether the path is sound; returns whether a failure on it says something
/// of its backend server.
pub async fn is_sound(app: &App) -> bool {
    // At once: what crashes backend servers is told apart by the order of events.
    if app.state().reach.path() == Path::Doubtful && probe_once(app).await {
        return true;
    }
    let started = Instant::now();
    let is_known = |reach: &Reach| {
        // A sound path may be in doubt again before this is checked.
        reach.path() != Path::Doubtful || reach.last_success() > Some(started)
    };
    let settled = async {
        while !is_known(&app.state().reach) {
            sleep(SETTLE_INTERVAL).await;
        }
    };
    // In time unless all backend servers fail and there is no traffic.
    let _ = timeout(SETTLE_TIMEOUT, settled).await;
    !app.state().is_cut(Instant::now())
}

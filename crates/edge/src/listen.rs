//! HTTP listeners.

use crate::Error;
use crate::app::App;
use crate::bind::bind;
use crate::body::Body;
use crate::closer::Closer;
use crate::shutdown::{Phase, Shutdown};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::net::TcpStream;

/// Smallest buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;
/// Delay after a failed accept, most likely for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Address of the caller that sent a request.
#[derive(Clone, Copy, Debug)]
pub struct Peer(pub SocketAddr);

/// Listens on an address and serves each request with a function.
pub async fn listen<S, F>(
    app: Arc<App>,
    shutdown: Shutdown,
    address: SocketAddrV4,
    serve: S,
) -> Result<(), Error>
where
    S: Fn(Arc<App>, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let listener = bind(address).await?;
    tokio::spawn(async move {
        let mut closing = shutdown.clone();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                // Closing the port makes callers switch to another node immediately.
                () = closing.wait(Phase::Draining) => return,
            };
            match accepted {
                Ok((stream, peer)) => {
                    let (app, shutdown, serve) =
                        (Arc::clone(&app), shutdown.clone(), serve.clone());
                    tokio::spawn(serve_connection(app, shutdown, (stream, Peer(peer)), serve));
                }
                Err(error) => {
                    log::warn!(event = 1707; "can't accept a connection: {error}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    });
    Ok(())
}

async fn serve_connection<S, F>(
    app: Arc<App>,
    mut shutdown: Shutdown,
    (stream, peer): (TcpStream, Peer),
    serve: S,
) where
    S: Fn(Arc<App>, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        return log::debug!(event = 1714; "can't configure a connection: {error}");
    }
    let limits = app.state().routes.config().limits.clone();
    let in_use = OnceLock::new();
    let closer = Closer::default();
    let service = service_fn(|mut request: Request<Incoming>| {
        request.extensions_mut().insert(peer);
        request.extensions_mut().insert(closer.clone());
        in_use.get_or_init(|| app.connections.track());
        let response = serve(Arc::clone(&app), request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    // A connection opened during the lame duck phase still serves one request. A graceful shutdown
    // right away would lose it.
    let lame_duck = shutdown.has_reached(Phase::LameDuck);
    let connection = http1::Builder::new()
        .keep_alive(!lame_duck)
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let serving = async {
        tokio::select! {
            result = connection.as_mut() => result,
            () = shutdown.wait(Phase::LameDuck), if !lame_duck => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        }
    };
    let result = tokio::select! {
        biased;
        () = closer.requested() => {
            return log::info!(event = 1769; "connection closed: its caller doesn't read a response that is cut");
        }
        result = serving => result,
    };
    if let Err(error) = result {
        log::debug!(event = 1708; "connection ended: {error}");
    }
}

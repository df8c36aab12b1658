//! Listening for callers.

use crate::Error;
use crate::app::App;
use crate::body::Body;
use crate::shutdown::{Phase, Shutdown};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Least buffer that the HTTP library takes, in bytes.
const MIN_BUFFER: usize = 8192;
/// Pause after a connection that can't be accepted: descriptors are short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Address of the caller that a request came from.
#[derive(Clone, Copy, Debug)]
pub struct Peer(pub SocketAddr);

/// Listens on an address and answers each request by a function.
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
    let listener = TcpListener::bind(address).await;
    let listener = listener.map_err(|source| Error::Listen { address, source })?;
    tokio::spawn(async move {
        let mut closing = shutdown.clone();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                // A closed port sends callers to another node at once.
                () = closing.wait(Phase::Draining) => return,
            };
            match accepted {
                Ok((stream, peer)) => {
                    let (app, shutdown, serve) =
                        (Arc::clone(&app), shutdown.clone(), serve.clone());
                    tokio::spawn(connection(app, shutdown, (stream, Peer(peer)), serve));
                }
                Err(error) => {
                    log::warn!(event = 1707; "connection can't be accepted: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    });
    Ok(())
}

async fn connection<S, F>(
    app: Arc<App>,
    mut shutdown: Shutdown,
    (stream, peer): (TcpStream, Peer),
    serve: S,
) where
    S: Fn(Arc<App>, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        return log::debug!(event = 1714; "connection can't be set up: {error}");
    }
    let limits = app.state().routes.config().limits.clone();
    let service = service_fn(|mut request: Request<Incoming>| {
        request.extensions_mut().insert(peer);
        let answer = serve(Arc::clone(&app), request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    // A connection that is opened while the node leaves serves one request; ending it at once
    // would lose that.
    let lame_duck = shutdown.has_reached(Phase::LameDuck);
    let served = http1::Builder::new()
        .keep_alive(!lame_duck)
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(served);
    let ended = tokio::select! {
        ended = served.as_mut() => ended,
        () = shutdown.wait(Phase::LameDuck), if !lame_duck => {
            served.as_mut().graceful_shutdown();
            served.await
        }
    };
    if let Err(error) = ended {
        log::debug!(event = 1708; "connection ended: {error}");
    }
}

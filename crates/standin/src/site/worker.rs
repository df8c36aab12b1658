//! A backend server of the operators' platform: plain answers and streams of events.

use super::fault::WorkerFault;
use super::plain;
use super::wire::{Request, read_body, read_head};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

/// A request that a backend server began to run.
#[derive(Clone, Debug)]
pub struct Run {
    /// The request.
    pub request: Request,
    /// When it began.
    pub at: Instant,
    /// The other end of its connection, if it was still open.
    pub peer: Option<SocketAddr>,
    /// Whether the connection ended before the answer did.
    pub cut: bool,
}

#[derive(Debug)]
pub(super) struct Shared {
    pub(super) id: String,
    pub(super) state: Mutex<State>,
    /// Signals that it crashes.
    crashed: Notify,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) fault: WorkerFault,
    pub(super) events: u64,
    pub(super) pause: Duration,
    /// What the answer says of itself, in percent.
    pub(super) confidence: u32,
    pub(super) runs: Vec<Run>,
    /// When it refused requests with a pause.
    pub(super) refusals: Vec<Instant>,
    /// Part of prompts at which it crashes, where it begins to answer.
    pub(super) poison: Option<String>,
    /// Number of crashes.
    pub(super) crashes: usize,
}

impl Shared {
    /// Crashes if a request holds the poison part; returns whether it does.
    pub(super) fn crashes_at(&self, request: &Request) -> bool {
        let mut state = self.state();
        let prompt = request.header("prompt-prefix");
        let is_poison = |part: &str| part.split(':').next() == state.poison.as_deref();
        let crashes = state.poison.is_some() && prompt.split(',').any(is_poison);
        if crashes {
            state.crashes += 1;
            self.crashed.notify_one();
        }
        crashes
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running backend server; it stops when dropped.
#[derive(Debug)]
pub struct Worker {
    address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Worker {
    /// Starts a backend server with an id.
    pub async fn start(id: &str) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            state: Mutex::new(State {
                fault: WorkerFault::None,
                events: 5,
                pause: Duration::from_millis(10),
                confidence: 100,
                runs: Vec::new(),
                refusals: Vec::new(),
                poison: None,
                crashes: 0,
            }),
            crashed: Notify::new(),
        });
        let address = listener.local_addr()?;
        let task = tokio::spawn(serve(listener, Arc::clone(&shared)));
        Ok(Self {
            address,
            shared,
            task,
        })
    }

    /// Its id.
    pub fn id(&self) -> &str {
        &self.shared.id
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what goes wrong from the next request on.
    pub fn set_fault(&self, fault: WorkerFault) {
        self.shared.state().fault = fault;
    }

    /// Sets the events of a stream and the pause between them.
    pub fn set_events(&self, events: u64, pause: Duration) {
        let mut state = self.shared.state();
        state.events = events;
        state.pause = pause;
    }

    /// Sets what answers say of themselves, in percent.
    pub fn set_confidence(&self, confidence: u32) {
        self.shared.state().confidence = confidence;
    }

    /// Sets the part of prompts at which it crashes.
    pub fn set_poison(&self, part: &str) {
        self.shared.state().poison = Some(part.to_owned());
    }

    /// When it refused requests with a pause.
    pub fn refusals(&self) -> Vec<Instant> {
        self.shared.state().refusals.clone()
    }

    /// How often it has crashed.
    pub fn crashes(&self) -> usize {
        self.shared.state().crashes
    }

    /// The requests that it began to run.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.state().runs.clone()
    }
}

/// Time after a crash until it listens again.
const RESTART_TIME: Duration = Duration::from_millis(1500);

async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    let Ok(address) = listener.local_addr() else {
        return;
    };
    let mut listener = Some(listener);
    loop {
        match listener.take() {
            Some(open) => serve_until_crash(open, &shared).await,
            None => listener = TcpListener::bind(address).await.ok(),
        }
        if listener.is_none() {
            sleep(RESTART_TIME).await;
        }
    }
}

/// Serves connections until it crashes, which ends all of them.
async fn serve_until_crash(listener: TcpListener, shared: &Arc<Shared>) {
    let mut connections = JoinSet::new();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(_) => return,
            },
            () = shared.crashed.notified() => return,
        };
        let shared = Arc::clone(shared);
        connections.spawn(async move {
            if let Err(error) = connection(stream, &shared).await {
                log::debug!("connection to a backend server ended: {error}");
            }
        });
    }
}

async fn connection(mut stream: TcpStream, shared: &Shared) -> std::io::Result<()> {
    while let Some(mut request) = read_head(&mut stream).await? {
        let most = match shared.state().fault {
            WorkerFault::EarlyEnd(bytes, _) => bytes,
            _ => usize::MAX,
        };
        read_body(&mut stream, &mut request, most).await?;
        if !plain::run(&mut stream, shared, request).await? {
            return Ok(());
        }
    }
    Ok(())
}

//! Backend servers.

use crate::http::{Reader, Request, answer};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A request that has reached a worker named in it.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub worker: String,
    pub request_id: String,
    /// What the worker did.
    pub outcome: String,
}

/// All arrivals of a case.
pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// Serves a request; returns whether the connection may be used again.
pub type Serve = dyn Fn(&Worker, &Request, &TcpStream) -> io::Result<bool> + Send + Sync;

/// One start of a backend server.
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    pub arrivals: Arrivals,
    stopped: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    serve: Box<Serve>,
}

impl Worker {
    /// Starts a worker at an address; port 0 takes a free one.
    pub fn start(
        id: &str,
        address: &str,
        arrivals: &Arrivals,
        serve: impl Fn(&Worker, &Request, &TcpStream) -> io::Result<bool> + Send + Sync + 'static,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let worker = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            arrivals: Arc::clone(arrivals),
            stopped: AtomicBool::new(false),
            connections: Mutex::default(),
            serve: Box::new(serve),
        });
        let shared = Arc::clone(&worker);
        thread::spawn(move || {
            while !shared.is_stopped() {
                match listener.accept() {
                    Ok((stream, _)) => shared.accept(stream),
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok(worker)
    }

    fn accept(self: &Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        if let (Ok(clone), Ok(mut all)) = (stream.try_clone(), self.connections.lock()) {
            all.push(clone);
        }
        let worker = Arc::clone(self);
        thread::spawn(move || {
            let mut reader = Reader::new(&stream);
            while let Ok(Some(request)) = reader.request() {
                let kept = worker.handle(&request, &stream);
                if !kept.unwrap_or(false) {
                    break;
                }
            }
            let _ = stream.shutdown(Shutdown::Both);
        });
    }

    fn handle(&self, request: &Request, stream: &TcpStream) -> io::Result<bool> {
        let target = request.head.get("target-instance");
        if !target.is_empty() && target != self.id {
            answer(stream, 421, &[("not-executed", "1")], b"")?;
            return Ok(true);
        }
        (self.serve)(self, request, stream)
    }

    /// Notes an arrival; the index is that of its entry.
    pub fn arrived(&self, request: &Request, outcome: &str) -> usize {
        let mut all = self
            .arrivals
            .lock()
            .unwrap_or_else(|error| error.into_inner());
        all.push(Arrival {
            at: Instant::now(),
            worker: self.id.clone(),
            request_id: request.head.get("request-id").to_owned(),
            outcome: outcome.to_owned(),
        });
        all.len() - 1
    }

    pub fn set_outcome(&self, index: usize, outcome: &str) {
        let mut all = self
            .arrivals
            .lock()
            .unwrap_or_else(|error| error.into_inner());
        all[index].outcome = outcome.to_owned();
    }

    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    /// Ends at once, as a process that is killed: the port closes and all connections end.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        if let Ok(mut all) = self.connections.lock() {
            for stream in all.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Answers a request well or badly, signed.
    pub fn reply(
        &self,
        request: &Request,
        stream: &TcpStream,
        status: u16,
        body: &str,
    ) -> io::Result<bool> {
        let seal = format!("seal.{}.{status}", self.id);
        let headers = [
            ("request-id", request.head.get("request-id")),
            ("response-seal", seal.as_str()),
            ("instance-id", self.id.as_str()),
        ];
        answer(stream, status, &headers, body.as_bytes())?;
        Ok(true)
    }
}

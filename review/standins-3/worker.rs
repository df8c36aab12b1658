//! A worker of the platform: it lists itself in the store and answers requests.

use crate::http::{Connection, Message};
use crate::store::Store;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

/// Interval of a worker's writes to the store (`heartbeatMs`).
pub const HEARTBEAT: Duration = Duration::from_millis(1200);

/// A request that a worker began to run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Worker.
    pub worker: String,
    /// The request.
    pub request: Message,
    /// When it began.
    pub at: Instant,
}

/// Where all workers note what they run.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// What a worker does with a request once it has begun to run it.
pub type Script = Arc<dyn Fn(&mut Connection, &Message, &str) -> io::Result<bool> + Send + Sync>;

/// A running worker.
#[derive(Clone)]
pub struct Worker {
    /// Id in the store.
    pub id: String,
    /// Service.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    version: String,
    slots: u32,
    zone: String,
    born: u128,
    alive: Arc<AtomicBool>,
    store: Store,
}

impl Worker {
    /// Starts a worker that lists itself.
    pub fn start(store: &Store, runs: &Runs, id: &str, service: &str, script: Script) -> io::Result<Self> {
        Self::start_in("z-a", store, runs, id, service, script)
    }

    /// Starts a worker of a zone that lists itself.
    pub fn start_in(zone: &str, store: &Store, runs: &Runs, id: &str, service: &str, script: Script) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let worker = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr()?,
            version: "v1".to_owned(),
            slots: 16,
            zone: zone.to_owned(),
            born: SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_millis(),
            alive: Arc::new(AtomicBool::new(true)),
            store: store.clone(),
        };
        store.put("servers", id, Some(&worker.entry("ready")));
        let beating = worker.clone();
        thread::spawn(move || {
            while beating.alive.load(Ordering::Relaxed) {
                thread::sleep(HEARTBEAT);
                // The write raises the store's counter. Only `sequence` differs, so the entry doesn't change.
                match beating.store.version_of("servers", &beating.id) {
                    Some(_) => beating.store.touch(),
                    None => drop(beating.store.put("servers", &beating.id, Some(&beating.entry("ready")))),
                }
            }
        });
        let (serving, runs) = (worker.clone(), Arc::clone(runs));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (worker, runs, script) = (serving.clone(), Arc::clone(&runs), Arc::clone(&script));
                thread::spawn(move || drop(worker.serve(stream, &runs, &script)));
            }
        });
        Ok(worker)
    }

    fn entry(&self, state: &str) -> String {
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"{}","slots":{},"state":"{state}","coldRemainingMs":0,"phase":"both","models":[],"sequence":1,"born":{}}}"#,
            self.service, self.address, self.zone, self.version, self.slots, self.born
        )
    }

    fn serve(&self, stream: TcpStream, runs: &Runs, script: &Script) -> io::Result<()> {
        let mut connection = Connection::new(stream)?;
        while let Some(request) = connection.message(false)? {
            if request.header("target-instance") != self.id {
                connection.answer(421, &[("instance-id", &self.id)], b"")?;
                continue;
            }
            let run = Run { worker: self.id.clone(), request: request.clone(), at: Instant::now() };
            runs.lock().unwrap().push(run);
            if !script(&mut connection, &request, &self.id)? {
                return Ok(());
            }
        }
        Ok(())
    }
}

/// Answers after some time with a signature and a short body.
pub fn plain(time: Duration) -> Script {
    Arc::new(move |connection, request, id| {
        thread::sleep(time);
        let seal = format!("seal.{id}");
        let headers = [("request-id", request.header("request-id")), ("response-seal", seal.as_str())];
        let body = format!("answer of {id} to {}", request.header("request-id"));
        connection.answer(200, &headers, body.as_bytes())?;
        Ok(true)
    })
}

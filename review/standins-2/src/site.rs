//! A small site: a store, backend servers, nodes as processes, callers, and the record of what happens.

use crate::http::{Connection, Message};
use crate::store::Store;
use std::fs::{self, File};
use std::io::{self, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const HOST: &str = "shop.example";
pub const KEY: &str = "key-1";

/// What was sent, answered and run, in a file and with times.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub started: Instant,
}

impl Record {
    pub fn new(folder: &Path) -> io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self {
            file: Arc::new(Mutex::new(file)),
            started: Instant::now(),
        })
    }

    pub fn ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.ms());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// A line that is also printed.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// What a backend server does with a request that is meant for it; false ends the connection.
pub type Behaviour =
    Arc<dyn Fn(&mut Connection, &Message, &Worker) -> io::Result<bool> + Send + Sync>;

/// A request that a backend server began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub path: String,
}

/// A backend server. It can crash, and is back at its address, under its id, after a while.
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    pub record: Record,
    pub born: AtomicU64,
    pub runs: Mutex<Vec<Run>>,
    pub crashes: AtomicUsize,
    down: AtomicBool,
    listens: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

impl Worker {
    pub fn start(id: &str, record: &Record, behaviour: Behaviour) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let worker = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            record: record.clone(),
            born: AtomicU64::new(unix_ms()),
            runs: Mutex::default(),
            crashes: AtomicUsize::new(0),
            down: AtomicBool::new(false),
            listens: AtomicBool::new(true),
            open: Mutex::default(),
        });
        let served = Arc::clone(&worker);
        thread::spawn(move || served.serve(listener, behaviour));
        Ok(worker)
    }

    fn serve(self: Arc<Self>, listener: TcpListener, behaviour: Behaviour) {
        let mut listener = Some(listener);
        loop {
            if self.down.load(Ordering::SeqCst) {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
            }
            self.listens.store(listener.is_some(), Ordering::SeqCst);
            let Some(open) = &listener else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            let _ = open.set_nonblocking(true);
            match open.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    if let Ok(copy) = stream.try_clone() {
                        let mut kept = self.open.lock().unwrap();
                        kept.retain(|stream| stream.peer_addr().is_ok());
                        kept.push(copy);
                    }
                    let (worker, behaviour) = (Arc::clone(&self), Arc::clone(&behaviour));
                    thread::spawn(move || {
                        let mut connection = Connection::new(stream);
                        while let Ok(Some(request)) = connection.request() {
                            let kept = worker.handle(&mut connection, &request, &behaviour);
                            if !kept.unwrap_or(false) {
                                break;
                            }
                        }
                        let _ = connection.stream.shutdown(Shutdown::Both);
                    });
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn handle(
        &self,
        connection: &mut Connection,
        request: &Message,
        behaviour: &Behaviour,
    ) -> io::Result<bool> {
        if request.header("target-instance") != self.id {
            connection.answer(421, &[("instance-id", &self.id)], b"")?;
            return Ok(true);
        }
        behaviour(connection, request, self)
    }

    /// Notes that it begins to run a request.
    pub fn run(&self, request: &Message) {
        let run = Run {
            request: request.header("request-id").to_owned(),
            path: request.target().to_owned(),
        };
        self.record
            .line(&format!("{} runs {} {}", self.id, run.request, run.path));
        self.runs.lock().unwrap().push(run);
    }

    /// Crashes: all connections are reset, and nothing listens until it is back under its id, as a new
    /// start.
    pub fn crash(self: &Worker, back: Duration, site: &Arc<Services>) {
        if self.down.swap(true, Ordering::SeqCst) {
            return;
        }
        self.crashes.fetch_add(1, Ordering::SeqCst);
        self.record.line(&format!("{} crashes", self.id));
        // Its port is closed with its connections.
        while self.listens.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_micros(100));
        }
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let site = Arc::clone(site);
        let id = self.id.clone();
        thread::spawn(move || {
            thread::sleep(back);
            site.back(&id);
        });
    }
}

/// Milliseconds since 1970.
pub fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |time| time.as_millis() as u64)
}

/// The backend servers, with what the store says of them.
pub struct Services {
    pub store: Store,
    pub workers: Mutex<Vec<(Arc<Worker>, String, u32)>>,
}

impl Services {
    pub fn new(store: &Store) -> Arc<Self> {
        Arc::new(Self {
            store: store.clone(),
            workers: Mutex::default(),
        })
    }

    pub fn add(&self, worker: &Arc<Worker>, service: &str, slots: u32) {
        self.workers
            .lock()
            .unwrap()
            .push((Arc::clone(worker), service.to_owned(), slots));
        self.list(&worker.id);
    }

    /// Writes a worker's entry.
    pub fn list(&self, id: &str) {
        let workers = self.workers.lock().unwrap();
        let Some((worker, service, slots)) = workers.iter().find(|(worker, ..)| worker.id == id)
        else {
            return;
        };
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"z-0\",\"version\":\"v1\",\"slots\":{slots},\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":{}}}",
            worker.address,
            worker.born.load(Ordering::SeqCst)
        );
        self.store.put("servers", id, Some(&entry));
    }

    /// A worker that has crashed is back: a new start under its id.
    fn back(&self, id: &str) {
        if let Some((worker, ..)) = self
            .workers
            .lock()
            .unwrap()
            .iter()
            .find(|(worker, ..)| worker.id == id)
        {
            worker.born.store(unix_ms(), Ordering::SeqCst);
            worker.down.store(false, Ordering::SeqCst);
            worker.record.line(&format!("{id} is back"));
        }
        self.list(id);
    }
}

/// Plain routes that may and may not be repeated, and a stream that may be resumed.
pub fn config(timeout_ms: u64) -> String {
    let route = |name: &str, kind: &str, service: &str, attempts: u32, more: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\"routeType\":\"{kind}\",\
             \"timeoutMs\":{timeout_ms},\"targetLatencyMs\":400,\"priority\":1,\"service\":\"{service}\",\
             \"attempts\":{attempts},\"anonymous\":false{more}}}"
        )
    };
    let stream = ",\"streamResume\":true,\"gapAimMs\":2500,\"sessionAffinity\":true,\"sizes\":[\"small\",\"large\"]";
    format!(
        "{{\"version\":1,\"routes\":[{},{},{}],\"services\":[\
         {{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConnections\":96,\"coldStartS\":0,\"coldPerS\":0}},\
         {{\"name\":\"models\",\"healthPath\":\"/health\",\"maxConnections\":360,\"coldStartS\":0,\"coldPerS\":0,\
         \"engine\":{{\"slots\":64,\"kvCapacityTokens\":357302,\"stride\":7,\
         \"models\":[{{\"name\":\"small\",\"cost\":0.1}},{{\"name\":\"large\",\"cost\":1.0}}]}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"farm\",\"apiKeys\":[\"{KEY}\"]}}]}}",
        route("once", "non_idempotent", "desk", 2, ""),
        route("again", "idempotent", "desk", 2, ""),
        route("stream", "streaming", "models", 3, stream),
    )
}

/// A node as a process; it is killed when dropped.
pub struct Node {
    pub address: SocketAddr,
    ready: SocketAddr,
    pub child: Child,
    program: PathBuf,
    settings: PathBuf,
    metrics: u16,
    log: PathBuf,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Node {
    pub fn start(
        program: &Path,
        folder: &Path,
        index: u8,
        memory_mb: u64,
        store: &Store,
    ) -> io::Result<Self> {
        let ip = Ipv4Addr::new(127, 0, 3, index + 1);
        let ports = free_ports(ip, 10)?;
        let at = |port: usize| format!("\"{ip}:{}\"", ports[port]);
        let settings = format!(
            "{{\"nodeName\":\"edge-{index}\",\"role\":\"entry\",\"machineClass\":\"edge\",\"ip\":\"{ip}\",\"zone\":\"z-0\",\
             \"region\":\"r\",\"zones\":{{\"z-0\":\"r\"}},\
             \"bind\":{{\"frontend\":{},\"ready\":{},\"directory\":{},\"controlPlane\":{}}},\
             \"internalPorts\":[{},{}],\"seedNodes\":[],\"firstStart\":false,\"lossCounted\":false,\
             \"limits\":{{\"cpuShare\":0.25,\"cpuCores\":1,\"memoryMb\":{memory_mb},\"maxFds\":4100,\"linkSpeedMbps\":1000.0,\
             \"diskMb\":0}},\"heartbeatMs\":1200,\
             \"bounds\":{{\"contactMs\":3000,\"drainMs\":2000,\"graceS\":8,\"lossSlackMs\":200,\"configApplyMs\":2000,\
             \"retryBudgetRatio\":0.9,\"retryWindowS\":10,\"retryBudgetExtra\":52,\"exposeShare\":0.15,\"exposeSlack\":30,\
             \"coldOver\":1.5,\"coldSlack\":5,\"sessionS\":5,\"ttl_max_s\":5}},\
             \"platform\":{{\"address\":\"{}\",\"form\":\"table\"}}}}",
            at(0),
            at(1),
            at(2),
            at(3),
            ports[4],
            ports[5],
            store.address
        );
        let path = folder.join(format!("edge-{index}.json"));
        fs::write(&path, settings)?;
        let log = folder.join(format!("edge-{index}.log"));
        let child = spawn(program, &path, ports[9], &log)?;
        let address = |port: usize| SocketAddr::from((ip, ports[port]));
        Ok(Self {
            address: address(0),
            ready: address(1),
            child,
            program: program.to_owned(),
            settings: path,
            metrics: ports[9],
            log,
        })
    }

    /// Starts its process again after it has ended.
    pub fn restart(&mut self) -> io::Result<()> {
        self.child = spawn(&self.program, &self.settings, self.metrics, &self.log)?;
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        let get = || -> io::Result<u16> {
            let stream = TcpStream::connect(self.ready)?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            let mut connection = Connection::new(stream);
            connection
                .stream
                .write_all(b"GET /sardinebank/ready HTTP/1.1\r\nhost: x\r\n\r\n")?;
            Ok(connection.head()?.map_or(0, |head| head.status()))
        };
        get().is_ok_and(|status| status == 200)
    }

    pub fn until_ready(&self) -> io::Result<()> {
        let begun = Instant::now();
        while !self.is_ready() {
            if begun.elapsed() > Duration::from_secs(15) {
                return Err(io::Error::other("a node isn't ready in time"));
            }
            thread::sleep(Duration::from_millis(30));
        }
        Ok(())
    }

    /// Resident memory of its process in kilobytes; none when it has ended.
    pub fn resident_kb(&self) -> Option<u64> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }
}

unsafe extern "C" {
    fn prctl(option: i32, value: u64, ...) -> i32;
}

/// `PR_SET_PDEATHSIG` of `prctl`, and the signal.
const AT_END_OF_PARENT: (i32, u64) = (1, 9);

fn spawn(program: &Path, settings: &Path, metrics: u16, log: &Path) -> io::Result<Child> {
    let output = File::options().create(true).append(true).open(log)?;
    let mut command = Command::new(program);
    // SAFETY: `prctl` takes no memory and may be called between fork and exec.
    unsafe {
        command.pre_exec(|| {
            prctl(AT_END_OF_PARENT.0, AT_END_OF_PARENT.1);
            Ok(())
        });
    }
    command
        .arg("edge")
        .env("SARDINEBANK_SETTINGS", settings)
        .env("SARDINEBANK_METRICS_PORT", metrics.to_string())
        .stdin(Stdio::null())
        .stdout(output.try_clone()?)
        .stderr(output)
        .spawn()
}

/// Ports that nothing listens on at an address.
fn free_ports(ip: Ipv4Addr, count: usize) -> io::Result<Vec<u16>> {
    let held: Vec<_> = (0..count)
        .map(|_| TcpListener::bind((ip, 0)))
        .collect::<io::Result<_>>()?;
    held.iter()
        .map(|listener| Ok(listener.local_addr()?.port()))
        .collect()
}

/// How an answer came to its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// It is whole.
    Whole,
    /// The connection ended before.
    Broken,
    /// It was still coming when the caller stopped waiting.
    Open,
}

/// What a caller saw of its request.
#[derive(Clone, Debug)]
pub struct Seen {
    pub status: u16,
    pub end: End,
    pub bytes: usize,
    pub took: Duration,
    pub body: Vec<u8>,
    pub retry_after: String,
}

/// A request of a caller.
#[derive(Clone)]
pub struct Ask<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub headers: Vec<(&'a str, String)>,
    /// Its body; none where it is empty.
    pub body: String,
    pub deadline_ms: u64,
    /// Bytes a second that the caller reads; 0 for all that come.
    pub rate: usize,
}

impl Ask<'_> {
    /// Sends it over a connection of its own, and waits for the end of the answer, or for its deadline.
    pub fn send(&self, node: SocketAddr, record: &Record) -> Seen {
        let begun = Instant::now();
        let mut seen = Seen {
            status: 0,
            end: End::Broken,
            bytes: 0,
            took: Duration::ZERO,
            body: Vec::new(),
            retry_after: String::new(),
        };
        record.line(&format!(
            "caller sends {} {} {}",
            self.id, self.method, self.path
        ));
        let result = self.exchange(node, begun, &mut seen);
        seen.took = begun.elapsed();
        if let Err(error) = result {
            seen.end = match error.kind() {
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => End::Open,
                _ => End::Broken,
            };
        }
        record.line(&format!(
            "caller has of {}: status {}, {} bytes, {:?} after {} ms",
            self.id,
            seen.status,
            seen.bytes,
            seen.end,
            seen.took.as_millis()
        ));
        seen
    }

    fn exchange(&self, node: SocketAddr, begun: Instant, seen: &mut Seen) -> io::Result<()> {
        let until = begun + Duration::from_millis(self.deadline_ms);
        let mut connection = Connection::new(TcpStream::connect(node)?);
        let mut text = format!(
            "{} {} HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {}\r\ndeadline-ms: {}\r\nkey: {KEY}\r\n",
            self.method, self.path, self.id, self.deadline_ms
        );
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if self.method == "POST" {
            text.push_str(&format!("content-length: {}\r\n", self.body.len()));
        }
        text.push_str("\r\n");
        text.push_str(&self.body);
        connection.stream.write_all(text.as_bytes())?;
        let left = |stream: &TcpStream| -> io::Result<()> {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(io::ErrorKind::TimedOut.into());
            }
            stream.set_read_timeout(Some(left))
        };
        left(&connection.stream)?;
        let Some(head) = connection.head()? else {
            return Ok(());
        };
        seen.status = head.status();
        seen.retry_after = head.header("retry-after").to_owned();
        let length: Option<usize> = head.header("content-length").parse().ok();
        let mut tail: Vec<u8> = Vec::new();
        let first = Instant::now();
        loop {
            let part = std::mem::take(&mut connection.rest);
            seen.bytes += part.len();
            if seen.body.len() < 4096 {
                seen.body.extend_from_slice(&part);
            }
            tail.extend_from_slice(&part);
            let from = tail.len().saturating_sub(7);
            tail.drain(..from);
            let whole = match length {
                Some(length) => seen.bytes >= length,
                None => tail.ends_with(b"\r\n0\r\n\r\n") || tail == b"0\r\n\r\n",
            };
            if whole {
                seen.end = End::Whole;
                return Ok(());
            }
            if self.rate > 0 {
                let due = first + Duration::from_secs_f64(seen.bytes as f64 / self.rate as f64);
                thread::sleep(due.min(until).saturating_duration_since(Instant::now()));
            }
            left(&connection.stream)?;
            if connection.fill()? == 0 {
                return Ok(());
            }
        }
    }
}

/// Headers of a request to a model.
pub fn model_headers(parts: &str, tokens: &str) -> Vec<(&'static str, String)> {
    vec![
        ("accept", "text/event-stream".to_owned()),
        ("model", "*".to_owned()),
        ("token-count", tokens.to_owned()),
        ("prompt-prefix", parts.to_owned()),
    ]
}

/// Answers a request to a model: this many events, with a pause between them.
pub fn stream_events(
    connection: &mut Connection,
    request: &Message,
    worker: &Worker,
    events: u64,
    pause: Duration,
) -> io::Result<bool> {
    open_stream(connection, request, worker)?;
    let done: u64 = request.header("last-event-id").parse().unwrap_or(0);
    for number in done + 1..=events {
        thread::sleep(pause);
        connection.chunk(format!("id: {number}\ndata: part {number}\n\n").as_bytes())?;
    }
    connection.stream.write_all(b"0\r\n\r\n")?;
    Ok(true)
}

/// Writes the head of a stream.
pub fn open_stream(
    connection: &mut Connection,
    request: &Message,
    worker: &Worker,
) -> io::Result<()> {
    let seal = format!("seal.{}", worker.id);
    let headers = [
        ("request-id", request.header("request-id")),
        ("response-seal", &seal),
        ("confidence", "100"),
        ("content-type", "text/event-stream"),
        ("transfer-encoding", "chunked"),
    ];
    connection.write_head(200, &headers)
}

/// Answers a plain request after a time.
pub fn plain(
    connection: &mut Connection,
    request: &Message,
    worker: &Worker,
    time: Duration,
) -> io::Result<bool> {
    thread::sleep(time);
    let seal = format!("seal.{}", worker.id);
    let id = request.header("request-id");
    let body = format!("answer of {} to {id}", worker.id);
    connection.answer(
        200,
        &[("request-id", id), ("response-seal", &seal)],
        body.as_bytes(),
    )?;
    Ok(true)
}

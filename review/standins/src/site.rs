//! Nodes as processes, the record, and what all cases share.

use crate::http::{Got, call};
use crate::json::{parse, quote};
use crate::store::Store;
use std::collections::HashMap;
use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time in milliseconds after which a machine without disruption is in touch.
pub const CONTACT: Duration = Duration::from_millis(3000);

/// Writes `record.txt`.
pub struct Record {
    file: Mutex<File>,
    pub start: Instant,
}

impl Record {
    pub fn open(path: &str) -> Arc<Self> {
        Arc::new(Self {
            file: Mutex::new(File::create(path).expect("record.txt")),
            start: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        let time = at.saturating_duration_since(self.start).as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{time:8.3} {text}");
        }
    }

    /// Writes a line that sums up, also to the output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }
}

/// One machine with its process.
pub struct Node {
    pub name: String,
    pub frontend: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

impl Node {
    pub fn spawn(&self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/sardinebank")
            .arg("edge")
            .env("SARDINEBANK_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        // For run.sh, which ends the processes if this program is ended.
        let pids = self.settings.with_file_name("pids");
        let pids = File::options().create(true).append(true).open(pids);
        if let Ok(mut pids) = pids {
            let _ = writeln!(pids, "{}", child.id());
        }
        *self.child.lock().unwrap_or_else(|error| error.into_inner()) = Some(child);
        Ok(())
    }

    pub fn pid(&self) -> Option<u32> {
        let child = self.child.lock().unwrap_or_else(|error| error.into_inner());
        child.as_ref().map(Child::id)
    }

    /// Sends a signal to the process by its id.
    pub fn signal(&self, name: &str) {
        if let Some(pid) = self.pid() {
            let _ = Command::new("kill")
                .args([format!("-{name}"), pid.to_string()])
                .status();
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        let child = self
            .child
            .lock()
            .unwrap_or_else(|error| error.into_inner())
            .take();
        if let Some(mut child) = child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits for the end of the process for a time; none if it still runs then.
    pub fn wait(&self, time: Duration) -> Option<Duration> {
        let start = Instant::now();
        while start.elapsed() < time {
            let mut child = self.child.lock().unwrap_or_else(|error| error.into_inner());
            if child
                .as_mut()?
                .try_wait()
                .is_ok_and(|ended| ended.is_some())
            {
                return Some(start.elapsed());
            }
            drop(child);
            thread::sleep(Duration::from_millis(10));
        }
        None
    }

    /// Resident memory in megabytes.
    pub fn memory_mb(&self) -> f64 {
        let Some(pid) = self.pid() else {
            return 0.0;
        };
        let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.trim().split(' ').next()?.parse::<f64>().ok());
        kilobytes.unwrap_or(0.0) / 1024.0
    }

    pub fn is_ready(&self) -> bool {
        let text = "GET /sardinebank/ready HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n";
        let until = Instant::now() + Duration::from_secs(1);
        call(self.ready, text.as_bytes(), until).status() == 200
    }

    /// The addresses that its directory names.
    fn resolve(&self) -> Option<Vec<SocketAddr>> {
        let text = "GET /sardinebank/resolve?name=shop.example&region=r&zone=z-a HTTP/1.1\r\n\
            Host: directory\r\nConnection: close\r\n\r\n";
        let until = Instant::now() + Duration::from_secs(1);
        let Got::Answer(head, body) = call(self.directory, text.as_bytes(), until) else {
            return None;
        };
        if head.second() != "200" {
            return None;
        }
        let body = parse(&String::from_utf8_lossy(&body))?;
        let list = body.get("addresses").list().iter();
        let list: Vec<_> = list
            .filter_map(|address| address.text().parse().ok())
            .collect();
        (!list.is_empty()).then_some(list)
    }
}

/// A deployment with its store and nodes. Its processes end when it is dropped.
pub struct Site {
    pub store: Arc<Store>,
    pub nodes: Vec<Arc<Node>>,
    pub record: Arc<Record>,
    folder: PathBuf,
}

impl Drop for Site {
    fn drop(&mut self) {
        for node in &self.nodes {
            node.kill();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn free(ip: &str) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

impl Site {
    /// Prepares a site with nodes that aren't started yet.
    pub fn new(record: Arc<Record>, count: usize) -> Self {
        let folder =
            std::env::temp_dir().join(format!("sardinebank-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let store = Store::start();
        let second = 20 + std::process::id() % 200;
        let places: Vec<_> = (0..count)
            .map(|index| {
                let ip = format!("127.{second}.0.{}", index + 1);
                // All ports of a node at once, so that they differ.
                let held: Vec<_> = (0..4)
                    .map(|_| TcpListener::bind((ip.as_str(), 0)).expect("a free port"))
                    .collect();
                let ports: Vec<_> = held
                    .iter()
                    .map(|listener| listener.local_addr().expect("an address"))
                    .collect();
                (ip, ports)
            })
            .collect();
        let seeds: Vec<_> = places
            .iter()
            .map(|(_, ports)| quote(&ports[3].to_string()))
            .collect();
        let seeds = seeds.join(",");
        let nodes = places.iter().enumerate().map(|(index, (ip, ports))| {
            let name = format!("edge-{index}");
            let zone = ["z-a", "z-b", "z-c"][index % 3];
            let spare = free(ip).port();
            let text = format!(
                r#"{{"nodeName":"{name}","role":"entry","machineClass":"edge",
"serves":["edge","control","directory"],"ip":"{ip}","zone":"{zone}","region":"r",
"zones":{{"z-a":"r","z-b":"r","z-c":"r"}},
"bind":{{"frontend":"{}","ready":"{}","directory":"{}","controlPlane":"{}"}},
"internalPorts":[{spare},{spare}],"seedNodes":[{seeds}],"firstStart":false,"lossCounted":false,
"limits":{{"cpuShare":0.25,"cpuCores":1,"memoryMb":110,"maxFds":4100,"linkSpeedMbps":1000.0,"diskMb":0}},
"dataDir":null,"discovery":"platform","entry":"directory","heartbeatMs":1200,
"faultTolerance":{{"machines":2,"zones":1,"regions":0}},
"bounds":{{"seedLagS":3,"addrReuseS":2,"contactMs":3000,"ackMs":4000,"syncS":4,"drainMs":2000,"graceS":8,
"lossSlackMs":200,"configApplyMs":2000,"backMs":250,"maxSkewMs":5000,"enforceRevocation":false,
"revokeMs":5000,"retryBudgetRatio":0.9,"retryWindowS":10,"retryBudgetExtra":52,"exposeShare":0.15,
"exposeSlack":30,"rollbackMs":5000,"coldOver":1.5,"coldSlack":5,"evacuationMs":5000,"recoveryS":12,
"passMs":120,"againS":9.6,"sessionS":5,"ttl_max_s":5}},
"platform":{{"address":"{}","form":"table","writesPerS":400,"readsPerS":2000,"txMs":3.0,
"partWritesPerS":300,"rowBytes":65536,"across":true,"historyS":20,"blobBytes":8388608,"blobMs":25.0,
"blobMbPerS":80.0}}}}"#,
                ports[0], ports[1], ports[2], ports[3], store.address
            );
            let settings = folder.join(format!("{name}.json"));
            fs::write(&settings, text).expect("a settings file");
            Arc::new(Node {
                log: folder.join(format!("{name}.log")),
                frontend: ports[0],
                ready: ports[1],
                directory: ports[2],
                child: Mutex::new(None),
                settings,
                name,
            })
        });
        let nodes = nodes.collect();
        Self {
            store,
            nodes,
            record,
            folder,
        }
    }

    /// Starts all nodes and waits until they are ready; false if they don't become so.
    pub fn start(&self) -> bool {
        for node in &self.nodes {
            if let Err(error) = node.spawn() {
                self.record
                    .say(&format!("can't start {}: {error}", node.name));
                return false;
            }
        }
        let until = Instant::now() + Duration::from_secs(10);
        while !self.nodes.iter().all(|node| node.is_ready()) {
            if Instant::now() > until {
                self.record.say("the nodes don't become ready");
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        }
        // Links between the nodes open.
        thread::sleep(Duration::from_millis(1500));
        true
    }

    /// Writes the entry of a worker.
    pub fn list(&self, worker: &ListedWorker) {
        self.store.put("servers", worker.id, Some(&worker.entry()));
    }

    pub fn node_at(&self, address: SocketAddr) -> &str {
        let node = self.nodes.iter().find(|node| node.frontend == address);
        node.map_or("-", |node| &node.name)
    }

    /// Copies the nodes' logs beside the record, if `KEEP_LOGS` names a folder.
    pub fn keep_logs(&self) {
        let Ok(folder) = std::env::var("KEEP_LOGS") else {
            return;
        };
        for node in &self.nodes {
            let _ = fs::copy(
                &node.log,
                PathBuf::from(&folder).join(format!("{}.log", node.name)),
            );
        }
    }
}

/// What a worker's entry holds.
pub struct ListedWorker<'a> {
    pub id: &'a str,
    pub service: &'a str,
    pub address: SocketAddr,
    pub version: &'a str,
    pub slots: u32,
    pub state: &'a str,
    pub born: u64,
}

impl ListedWorker<'_> {
    pub fn entry(&self) -> String {
        format!(
            r#"{{"service":"{}","address":"{}","zone":"z-a","version":"{}","slots":{},"state":"{}","coldRemainingMs":0,"sequence":1,"born":{}}}"#,
            self.service, self.address, self.version, self.slots, self.state, self.born
        )
    }
}

/// Unix milliseconds.
pub fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}

/// Callers: they ask the directory, take an address at random, and leave out those that have failed them.
pub struct Callers {
    nodes: Vec<Arc<Node>>,
    known: Mutex<(Instant, Vec<SocketAddr>)>,
    failed: Mutex<HashMap<SocketAddr, Instant>>,
    random: AtomicU64,
}

impl Callers {
    pub fn new(site: &Site) -> Arc<Self> {
        Arc::new(Self {
            nodes: site.nodes.clone(),
            known: Mutex::new((Instant::now(), Vec::new())),
            failed: Mutex::default(),
            random: AtomicU64::new(0x9e37_79b9_7f4a_7c15 ^ unix_ms()),
        })
    }

    pub fn random(&self) -> u64 {
        let next = self
            .random
            .fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        let mixed = (next ^ next >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ mixed >> 31
    }

    /// A new request id.
    pub fn id(&self) -> String {
        format!("{:016x}", self.random())
    }

    /// Asks the directory again each two seconds, for as long as the case runs.
    pub fn keep_resolving(self: &Arc<Self>) {
        let callers = Arc::clone(self);
        thread::spawn(move || {
            loop {
                let found = callers.nodes.iter().find_map(|node| node.resolve());
                if let (Some(found), Ok(mut known)) = (found, callers.known.lock()) {
                    *known = (Instant::now(), found);
                }
                thread::sleep(Duration::from_millis(2000));
            }
        });
    }

    /// An address for a new connection.
    pub fn address(&self) -> Option<SocketAddr> {
        let all = self.known.lock().ok()?.1.clone();
        let failed = self.failed.lock().ok()?;
        let recent = |address: &SocketAddr| {
            let at = failed.get(address);
            at.is_some_and(|at| at.elapsed() < Duration::from_secs(2))
        };
        let good: Vec<_> = all.iter().filter(|address| !recent(address)).collect();
        match (good.is_empty(), all.is_empty()) {
            (false, _) => Some(*good[self.random() as usize % good.len()]),
            (true, false) => Some(all[self.random() as usize % all.len()]),
            (true, true) => None,
        }
    }

    pub fn mark_failed(&self, address: SocketAddr) {
        if let Ok(mut failed) = self.failed.lock() {
            failed.insert(address, Instant::now());
        }
    }
}

/// The configuration that all cases use, with the routes of one case.
pub fn config(version: u64, routes: &str, services: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{services}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},
"tenants":[{{"name":"farm","apiKeys":["key-1"]}}]}}"#
    )
}

/// Ends the program when the case takes too long; its processes are killed first.
pub fn watch(site: &Site, record: &Arc<Record>, limit: Duration) {
    let (nodes, record) = (site.nodes.clone(), Arc::clone(record));
    thread::spawn(move || {
        thread::sleep(limit);
        record.say("the case took too long");
        nodes.iter().for_each(|node| node.kill());
        std::process::exit(2);
    });
}

//! A small deployment: settings files and node processes.

use crate::http::{call, request, Outcome};
use crate::json::Json;
use crate::store::Store;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// A node's process, with the command of the deploy file. It is killed when dropped.
pub struct Node {
    /// Name.
    pub name: String,
    /// Where it takes requests.
    pub frontend: SocketAddr,
    /// Where it says whether it is ready.
    pub ready: SocketAddr,
    /// Where callers ask for addresses.
    pub directory: SocketAddr,
    /// Its process.
    pub child: Child,
    settings: PathBuf,
    log: PathBuf,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Node {
    fn spawn(settings: &Path, log: &Path) -> io::Result<Child> {
        let log = OpenOptions::new().create(true).append(true).open(log)?;
        Command::new("target/release/sardinebank")
            .arg("edge")
            .env_clear()
            .env("SARDINEBANK_SETTINGS", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
    }

    /// Whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        let bytes = request("GET", "/sardinebank/ready", &[("host", "x"), ("connection", "close")], b"");
        call(self.ready, &bytes, Duration::from_millis(500)).status() == 200
    }

    /// Waits until it is ready.
    pub fn until_ready(&self) -> io::Result<()> {
        let started = Instant::now();
        while !self.is_ready() {
            if started.elapsed() > Duration::from_secs(20) {
                return Err(io::Error::other(format!("{} doesn't get ready", self.name)));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Addresses that it names to callers; none if it doesn't answer.
    pub fn names(&self) -> Option<Vec<String>> {
        let target = "/sardinebank/resolve?name=shop.example&region=r&zone=z-a";
        let bytes = request("GET", target, &[("host", "x"), ("connection", "close")], b"");
        let Outcome::Answer(answer) = call(self.directory, &bytes, Duration::from_secs(1)) else {
            return None;
        };
        let body = Json::parse(&String::from_utf8_lossy(&answer.body))?;
        Some(body.get("addresses").list().iter().map(|address| address.text().to_owned()).collect())
    }

    /// Sends a signal to its process.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let command = format!("kill -{name} {}", self.child.id());
        let status = Command::new("sh").args(["-c", &command]).status()?;
        status.success().then_some(()).ok_or(io::Error::other("no signal was sent"))
    }

    /// Starts it again with the same settings, after its process has ended.
    pub fn restart(&mut self) -> io::Result<()> {
        self.child.wait()?;
        // Only the first start of the whole system is a first one.
        let text = fs::read_to_string(&self.settings)?;
        fs::write(&self.settings, text.replace("\"firstStart\":true", "\"firstStart\":false"))?;
        self.child = Self::spawn(&self.settings, &self.log)?;
        Ok(())
    }

    /// Resident memory of its process, in megabytes.
    pub fn memory_mb(&self) -> f64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.trim().trim_end_matches("kB").trim().parse::<f64>().ok());
        kilobytes.unwrap_or(0.0) / 1024.0
    }

    /// What it has logged.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

/// Folder of a case for temporary files; it is removed when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    /// Creates it.
    pub fn create() -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("sardinebank-review-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Starts nodes, each at a loopback address of its own with the same ports.
pub fn start_nodes(folder: &Folder, store: &Store, count: u8) -> io::Result<Vec<Node>> {
    start_nodes_with(folder, store, &vec![0.25; usize::from(count)])
}

/// Starts nodes with these shares of a core.
pub fn start_nodes_with(folder: &Folder, store: &Store, shares: &[f64]) -> io::Result<Vec<Node>> {
    let id = std::process::id();
    let net = format!("127.{}.{}", 64 + id % 128, id / 128 % 250);
    let port = free_ports(&net)?;
    let mut nodes = Vec::new();
    for (index, share) in (1u8..).zip(shares) {
        let ip = format!("{net}.{index}");
        let name = format!("edge-z-a-{index}");
        let at = |offset: u16| format!("{ip}:{}", port + offset);
        let text = format!(
            r#"{{"nodeName":"{name}","role":"entry","machineClass":"edge","serves":["edge","control","directory"],
"ip":"{ip}","zone":"z-a","region":"r","zones":{{"z-a":"r","z-b":"r","z-c":"r"}},
"bind":{{"frontend":"{}","ready":"{}","controlPlane":"{}","directory":"{}"}},
"internalPorts":[{},{}],"seedNodes":["{net}.1:{}","{net}.2:{}","{net}.3:{}"],"firstStart":true,"lossCounted":false,
"limits":{{"cpuShare":{share},"cpuCores":1,"memoryMb":110,"maxFds":4100,"linkSpeedMbps":1000.0,"diskMb":0}},
"dataDir":null,"discovery":"platform","entry":"directory","heartbeatMs":1200,
"bounds":{{"seedLagS":3,"addrReuseS":2,"contactMs":3000,"ackMs":4000,"syncS":4,"drainMs":2000,"graceS":8,"lossSlackMs":200,
"configApplyMs":2000,"backMs":250,"maxSkewMs":5000,"enforceRevocation":false,"revokeMs":5000,"retryBudgetRatio":0.9,
"retryWindowS":10,"retryBudgetExtra":52,"exposeShare":0.15,"exposeSlack":30,"rollbackMs":5000,"coldOver":1.5,"coldSlack":5,
"evacuationMs":5000,"recoveryS":12,"passMs":120,"againS":9.6,"sessionS":5,"ttl_max_s":5}},
"platform":{{"address":"{}","form":"table","writesPerS":400,"readsPerS":2000,"txMs":3.0,"partWritesPerS":300,"rowBytes":65536,
"across":true,"historyS":20,"blobBytes":8388608,"blobMs":25.0,"blobMbPerS":80.0}}}}"#,
            at(0), at(1), at(2), at(3), port + 4, port + 8, port + 2, port + 2, port + 2, store.address()
        );
        let settings = folder.0.join(format!("{name}.json"));
        fs::write(&settings, text)?;
        let log = folder.0.join(format!("{name}.log"));
        let address = |offset: u16| at(offset).parse().map_err(io::Error::other);
        nodes.push(Node {
            child: Node::spawn(&settings, &log)?,
            name,
            frontend: address(0)?,
            ready: address(1)?,
            directory: address(3)?,
            settings,
            log,
        });
    }
    Ok(nodes)
}

/// First of some neighbouring ports that are free.
fn free_ports(net: &str) -> io::Result<u16> {
    for attempt in 0..200u16 {
        let port = 12_000 + (std::process::id() as u16 % 200 * 97 + attempt * 10) % 19_000;
        let bind = |offset: u16| std::net::TcpListener::bind(format!("{net}.1:{}", port + offset));
        if (0..10).all(|offset| bind(offset).is_ok()) {
            return Ok(port);
        }
    }
    Err(io::Error::other("no free ports"))
}

/// Record of a case.
pub struct Record {
    file: File,
    started: Instant,
}

impl Record {
    /// Creates the record in a folder.
    pub fn create(folder: &str) -> io::Result<Self> {
        let file = File::create(Path::new(folder).join("record.txt"))?;
        Ok(Self { file, started: Instant::now() })
    }

    /// Milliseconds from the start of the case to a time.
    pub fn millis(&self, at: Instant) -> u128 {
        at.saturating_duration_since(self.started).as_millis()
    }

    /// Adds a line as of now.
    pub fn note(&mut self, text: &str) {
        let now = self.millis(Instant::now());
        self.line(&format!("{:>8.3} s  {text}", now as f64 / 1e3));
    }

    /// Adds a line.
    pub fn line(&mut self, text: &str) {
        println!("{text}");
        let _ = writeln!(self.file, "{text}");
    }
}

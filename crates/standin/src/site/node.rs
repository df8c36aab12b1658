//! An entry node as a process.

use super::Settings;
use crate::Error;
use crate::fleet::node_binary;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::Stdio;
use std::time::{Duration, Instant};
use tokio::process::{Child, Command};
use tokio::time::sleep;

/// Time for a node to do what is waited for.
const TIME: Duration = Duration::from_secs(20);
/// Port of the metrics among those of a node.
const METRICS: u16 = 9;
/// Lines of a node that are printed when it doesn't do what is waited for.
const LAST_LINES: usize = 20;
/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(30);

/// An entry node as a process; it is killed when dropped.
#[derive(Debug)]
pub struct Node {
    /// Its name.
    pub name: String,
    /// Its part of the ports, the same on all nodes.
    ports: u16,
    ip: Ipv4Addr,
    child: Child,
    folder: PathBuf,
}

impl Node {
    /// Starts a node at a loopback address of its own.
    pub fn start(
        folder: PathBuf,
        index: u8,
        ports: u16,
        store: SocketAddr,
        settings: &Settings,
    ) -> Result<Self, Error> {
        let ip = Ipv4Addr::new(127, 0, 1, index + 1);
        let name = format!("edge-{index}");
        let at = |port: u16| format!("{ip}:{}", ports + port);
        let file = json!({
            "nodeName": name, "ip": ip, "zone": format!("z-{}", index % 2), "region": "r",
            "bind": {"frontend": at(0), "ready": at(1), "directory": at(2), "controlPlane": at(3)},
            "internalPorts": [ports + 4, ports + 8],
            "seedNodes": [format!("127.0.1.1:{}", ports + 3), format!("127.0.1.9:{}", ports + 3)],
            "limits": {"cpuShare": 1.0, "memoryMb": 110},
            "heartbeatMs": 500, "bounds": settings.bounds(), "platform": {"address": store},
            "fields that came later": true,
        });
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, file.to_string())?;
        let output = match settings.unread_logs {
            true => Stdio::piped(),
            false => {
                let log = folder.join(format!("{name}.log"));
                Stdio::from(File::options().create(true).append(true).open(log)?)
            }
        };
        let child = Command::new(node_binary()?)
            .arg("edge")
            .env("SARDINEBANK_SETTINGS", path)
            .env("SARDINEBANK_METRICS_PORT", (ports + METRICS).to_string())
            .stdout(output)
            .stderr(File::create(folder.join(format!("{name}.err")))?)
            .kill_on_drop(true)
            .spawn()?;
        Ok(Self {
            name,
            ports,
            ip,
            child,
            folder,
        })
    }

    /// Where it takes requests.
    pub fn requests(&self) -> String {
        format!("{}:{}", self.ip, self.ports)
    }

    /// The addresses that it needs: requests, readiness, directory and links.
    pub fn addresses_bound(&self) -> [SocketAddr; 4] {
        [0, 1, 2, 3].map(|port| (self.ip, self.ports + port).into())
    }

    /// Where it takes links of other nodes.
    pub fn link_address(&self) -> SocketAddr {
        (self.ip, self.ports + 3).into()
    }

    /// Whether it says that it is ready.
    pub async fn is_ready(&self) -> bool {
        let url = format!("http://{}:{}/sardinebank/ready", self.ip, self.ports + 1);
        let answer = reqwest::get(url).await;
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits until it says that it is ready, or not.
    pub async fn until_ready(&self, ready: bool) -> Result<(), Error> {
        let begun = Instant::now();
        while self.is_ready().await != ready {
            if begun.elapsed() > TIME {
                self.print_end();
                return Err(Error::Timeout("readiness of a node"));
            }
            sleep(LOOK).await;
        }
        Ok(())
    }

    /// Prints what the node said last, for the output of a test that fails.
    fn print_end(&self) {
        for kind in ["err", "log"] {
            let path = self.folder.join(format!("{}.{kind}", self.name));
            let text = fs::read_to_string(&path).unwrap_or_else(|error| error.to_string());
            let lines: Vec<_> = text.lines().collect();
            let end = lines[lines.len().saturating_sub(LAST_LINES)..].join("\n");
            eprintln!(
                "{}, ports from {}, its {kind}:\n{end}",
                self.name, self.ports
            );
        }
    }

    /// The addresses that it names to callers.
    pub async fn addresses(&self) -> Result<Vec<String>, Error> {
        let query = "name=shop.example&region=r&zone=z-0";
        let port = self.ports + 2;
        let url = format!("http://{}:{port}/sardinebank/resolve?{query}", self.ip);
        let body: Value = reqwest::get(url).await?.json().await?;
        let list = body["addresses"].as_array().cloned().unwrap_or_default();
        let texts = list.iter().filter_map(Value::as_str);
        Ok(texts.map(str::to_owned).collect())
    }

    /// Base URL of its metrics.
    pub fn metrics_url(&self) -> String {
        format!("http://{}:{}", self.ip, self.ports + METRICS)
    }

    /// Its metrics as text.
    pub async fn metrics(&self) -> Result<String, Error> {
        let url = format!("{}/metrics", self.metrics_url());
        Ok(reqwest::get(url).await?.text().await?)
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) -> Result<(), Error> {
        self.signal(Signal::SIGTERM)
    }

    /// Sends a signal; a process that has ended gets none.
    pub fn signal(&self, signal: Signal) -> Result<(), Error> {
        let Some(id) = self.child.id() else {
            return Ok(());
        };
        let pid = nix::unistd::Pid::from_raw(id as i32);
        nix::sys::signal::kill(pid, signal).map_err(|error| Error::System(error.into()))
    }

    /// Sends SIGKILL and waits for the end.
    pub async fn kill(&mut self) -> Result<(), Error> {
        Ok(self.child.kill().await?)
    }

    /// Waits until the process has ended; true when it ended well.
    pub async fn ended(&mut self) -> Result<bool, Error> {
        Ok(self.child.wait().await?.success())
    }

    /// Rewrites its settings file with another bound, as the platform does while it runs.
    pub fn set_bound(&self, name: &str, value: &Value) -> Result<(), Error> {
        let path = self.settings_path();
        let mut settings: Value = serde_json::from_str(&fs::read_to_string(&path)?)?;
        settings["bounds"][name] = value.clone();
        Ok(fs::write(path, settings.to_string())?)
    }

    /// Its settings file.
    pub fn settings_path(&self) -> PathBuf {
        self.folder.join(format!("{}.json", self.name))
    }

    /// Where it logs to.
    pub fn log_path(&self) -> PathBuf {
        self.folder.join(format!("{}.log", self.name))
    }

    /// What it has logged.
    pub fn log(&self) -> Result<String, Error> {
        Ok(fs::read_to_string(self.log_path())?)
    }
}

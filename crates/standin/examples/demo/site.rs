//! The processes of the site.

use crate::request::Done;
use serde_json::{Value, json};
use standin::Error;
use standin::fleet::{Process, program};
use standin::launch;
use standin::serve::free_address;
use standin::vms::Target;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tokio::process::{Child, Command};

pub const OPERATOR_KEY: &str = "demo-operator-key";
const LINK_KEY: &str = "demo-link-key-0001";
const SESSION_KEY: &str = "demo-session-key-0001";
const ZONES: [&str; 3] = ["a", "b", "c"];
const START_LIMIT: Duration = Duration::from_secs(30);
const STOP_LIMIT: Duration = Duration::from_secs(45);
const BILL_LIMIT: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_millis(50);

/// Customers of the samples and their keys.
pub const CALLER_KEYS: [(&str, &str); 6] = [
    (
        "fraser-lyle-proposals",
        "sample-key-of-fraser-lyle-proposals",
    ),
    ("fraser-lyle-desk", "sample-key-of-fraser-lyle-desk"),
    ("fraser-lyle-crews", "sample-key-of-fraser-lyle-crews"),
    ("huaman-plans", "sample-key-of-huaman-plans"),
    ("huaman-drivers", "sample-key-of-huaman-drivers"),
    ("huaman-farms", "sample-key-of-huaman-farms"),
];

/// Zone, then the settings of an engine; each version runs in two zones.
const ENGINES: [(&str, &str); 12] = [
    (
        "a",
        "small@1,quality=0.72,first_token_ms=15,inter_token_ms=1",
    ),
    (
        "b",
        "small@1,quality=0.72,first_token_ms=15,inter_token_ms=1",
    ),
    (
        "b",
        "small@2,quality=0.80,first_token_ms=18,inter_token_ms=1",
    ),
    (
        "c",
        "small@2,quality=0.80,first_token_ms=18,inter_token_ms=1",
    ),
    (
        "a",
        "medium@1,quality=0.86,first_token_ms=40,inter_token_ms=2,slots=12",
    ),
    (
        "b",
        "medium@1,quality=0.86,first_token_ms=40,inter_token_ms=2,slots=12",
    ),
    (
        "b",
        "medium@2,quality=0.90,first_token_ms=45,inter_token_ms=2,slots=12",
    ),
    (
        "c",
        "medium@2,quality=0.90,first_token_ms=45,inter_token_ms=2,slots=12",
    ),
    (
        "a",
        "large@1,quality=0.95,first_token_ms=90,inter_token_ms=4,slots=8,fenced=true",
    ),
    (
        "c",
        "large@1,quality=0.95,first_token_ms=90,inter_token_ms=4,slots=8,fenced=true",
    ),
    (
        "a",
        "large@2,quality=0.97,first_token_ms=95,inter_token_ms=4,slots=8,fenced=true",
    ),
    (
        "c",
        "large@2,quality=0.97,first_token_ms=95,inter_token_ms=4,slots=8,fenced=true",
    ),
];

/// Everything that runs.
pub struct Site {
    pub client: reqwest::Client,
    /// Base URLs of the nodes.
    pub entries: Vec<String>,
    table: String,
    journal: String,
    nodes: Vec<Process>,
    _standins: Vec<Child>,
}

impl Site {
    /// Starts stand-ins and nodes, and applies the samples.
    pub async fn start() -> Result<Self, Error> {
        let mut standins = Vec::new();
        let mut urls = Vec::new();
        for kind in ["table", "objects", "vms", "ratings", "journal"] {
            let (child, addresses) = launch::start(&[kind]).await?;
            standins.push(child);
            urls.push(format!("http://{}", addresses[0]));
        }
        let [table, objects, vms, ratings, journal] = urls.try_into().unwrap_or_default();
        let client = reqwest::Client::new();
        let mut site = Self {
            client,
            entries: Vec::new(),
            table: table.clone(),
            journal: format!("{journal}/journal"),
            nodes: Vec::new(),
            _standins: standins,
        };
        site.start_backends(&vms, &journal).await?;
        let vms_list = format!("{vms}/v1/vms");
        for zone in ZONES {
            let platform = [&table, &objects, &vms_list, &ratings];
            let (node, http) = start_node(zone, platform).await?;
            site.put(&vms, &Target::entry(&http, zone, &format!("n-{zone}")))
                .await?;
            site.nodes.push(node);
            site.entries.push(format!("http://{http}"));
        }
        site.wait_for("answers of the nodes", |site| site.answers())
            .await?;
        site.apply_samples().await?;
        site.wait_for("sample contracts at the nodes", |site| site.knows_callers())
            .await?;
        site.wait_for("capacity of backend servers", |site| site.has_capacity())
            .await?;
        Ok(site)
    }

    /// One JSON line for those who go on with the site.
    pub fn describe(&self) -> Value {
        let keys: serde_json::Map<_, _> = CALLER_KEYS
            .iter()
            .map(|(customer, key)| ((*customer).to_owned(), json!(key)))
            .collect();
        json!({
            "entries": self.entries,
            "caller_keys": keys,
            "operator_key": OPERATOR_KEY,
            "services": { "reservations": "/v1/services/reservations" },
            "journal": self.journal,
        })
    }

    /// Request ids of all bills, once the last completion's is there or the time is over.
    pub async fn settled_bills(&self, results: &[Done]) -> Result<Vec<String>, Error> {
        let last = results.iter().rev().find(|done| !done.model.is_empty());
        let deadline = Instant::now() + BILL_LIMIT;
        loop {
            let bills = self.bills().await?;
            let there = last.is_none_or(|done| bills.contains(&done.request_id));
            if there || Instant::now() > deadline {
                return Ok(bills);
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Waits for SIGINT or SIGTERM.
    pub async fn wait_for_interrupt(&self) -> Result<(), Error> {
        use tokio::signal::unix::{SignalKind, signal};
        let mut terminate = signal(SignalKind::terminate())?;
        tokio::select! {
            interrupted = tokio::signal::ctrl_c() => interrupted?,
            _ = terminate.recv() => {}
        }
        Ok(())
    }

    /// Stops the nodes as planned; the stand-ins end with this process.
    pub async fn stop(mut self) -> Result<(), Error> {
        for node in &self.nodes {
            node.terminate()?;
        }
        for node in &mut self.nodes {
            node.wait(STOP_LIMIT).await?;
        }
        Ok(())
    }

    async fn start_backends(&mut self, vms: &str, journal: &str) -> Result<(), Error> {
        let specs =
            ENGINES.map(|(zone, settings)| (zone, format!("--engine={settings},zone={zone}")));
        let journal = format!("--journal={journal}");
        for model in ["small", "medium", "large"] {
            let own: Vec<_> = specs
                .iter()
                .filter(|(_, spec)| spec.contains(model))
                .collect();
            let mut arguments = vec!["engines", &journal];
            arguments.extend(own.iter().map(|(_, spec)| spec.as_str()));
            let (child, addresses) = launch::start(&arguments).await?;
            self._standins.push(child);
            for ((zone, spec), address) in own.iter().zip(&addresses) {
                let served = spec.trim_start_matches("--engine=");
                let version = served.split(['@', ',']).nth(1).unwrap_or_default();
                self.put(vms, &Target::engine(address, zone, model, version))
                    .await?;
            }
        }
        let (child, addresses) = launch::start(&["reservations", &journal]).await?;
        self._standins.push(child);
        self.put(vms, &Target::service(&addresses[0], "a", "reservations"))
            .await
    }

    async fn put(&self, vms: &str, target: &Target) -> Result<(), Error> {
        let url = format!("{vms}/admin/vms");
        self.client
            .put(url)
            .json(target)
            .send()
            .await?
            .error_for_status()?;
        Ok(())
    }

    async fn apply_samples(&self) -> Result<(), Error> {
        let mut files: Vec<PathBuf> = std::fs::read_dir(samples())?
            .filter_map(|entry| Some(entry.ok()?.path()))
            .filter(|path| path.extension().is_some_and(|kind| kind == "toml"))
            .collect();
        files.sort();
        let status = Command::new(program("sardinectl")?)
            .env("SARDINECTL_NODE", self.entries.join(","))
            .env("SARDINECTL_OPERATOR_KEY", OPERATOR_KEY)
            .args(["apply", "--wait"])
            .args(files)
            .kill_on_drop(true)
            .status()
            .await?;
        if status.success() {
            return Ok(());
        }
        let name = "sardinectl".to_owned();
        let status = status.to_string();
        Err(Error::Ended { name, status })
    }

    async fn wait_for<'a, F>(
        &'a self,
        what: &'static str,
        ready: impl Fn(&'a Self) -> F,
    ) -> Result<(), Error>
    where
        F: Future<Output = bool>,
    {
        let deadline = Instant::now() + START_LIMIT;
        while !ready(self).await {
            if Instant::now() > deadline {
                return Err(Error::Timeout(what));
            }
            tokio::time::sleep(PAUSE).await;
        }
        Ok(())
    }

    /// Whether every node answers.
    async fn answers(&self) -> bool {
        for entry in &self.entries {
            let call = self.client.get(format!("{entry}/v1/entries")).send().await;
            if !call.is_ok_and(|response| response.status().is_success()) {
                return false;
            }
        }
        true
    }

    /// Whether every node can send work: new homes of backend servers first wait out old grants.
    async fn has_capacity(&self) -> bool {
        for entry in &self.entries {
            let url = format!("{entry}/v1/services/reservations/bookings/0");
            let call = self
                .client
                .get(url)
                .bearer_auth(CALLER_KEYS[0].1)
                .send()
                .await;
            if !call.is_ok_and(|response| response.status().as_u16() < 500) {
                return false;
            }
        }
        true
    }

    /// Whether every node knows the customers of the samples.
    async fn knows_callers(&self) -> bool {
        for entry in &self.entries {
            let call = self.client.get(format!("{entry}/v1/models"));
            let call = call.bearer_auth(CALLER_KEYS[0].1).send().await;
            if !call.is_ok_and(|response| response.status().is_success()) {
                return false;
            }
        }
        true
    }

    async fn bills(&self) -> Result<Vec<String>, Error> {
        let url = format!("{}/rows?prefix=bill", self.table);
        let rows: Vec<Value> = self.client.get(url).send().await?.json().await?;
        let mut ids = Vec::new();
        for row in rows {
            let body = row["body"]["S"].as_str().unwrap_or("[]");
            let lines: Vec<Value> = serde_json::from_str(body)?;
            ids.extend(
                lines
                    .iter()
                    .filter_map(|line| line["request_id"].as_str().map(str::to_owned)),
            );
        }
        Ok(ids)
    }
}

async fn start_node(zone: &str, platform: [&String; 4]) -> Result<(Process, String), Error> {
    let http = free_address().await?.to_string();
    let link = free_address().await?.to_string();
    let name = format!("n-{zone}");
    let [table, objects, vms, ratings] = platform;
    let flags = [
        ("--node", name.as_str()),
        ("--zone", zone),
        ("--http", &http),
        ("--link", &link),
        ("--table-url", table),
        ("--store-url", objects),
        ("--vms-url", vms),
        ("--ratings-url", ratings),
        ("--operator-key", OPERATOR_KEY),
        ("--link-key", LINK_KEY),
        ("--session-key", SESSION_KEY),
        ("--entries-ttl-ms", "1000"),
        ("--log", "warn"),
    ];
    let flags: Vec<String> = flags
        .iter()
        .flat_map(|(flag, value)| [(*flag).to_owned(), (*value).to_owned()])
        .collect();
    let log = std::env::temp_dir().join(format!("sardinebank-demo-{name}.log"));
    let process = Process::start(&name, &program("sardinebank")?, &flags, &log)?;
    Ok((process, http))
}

fn samples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../samples")
}

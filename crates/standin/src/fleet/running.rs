//! The fleet, and what can be done to it.

use super::Process;
use super::{Backend, Edit, Entry, Load, Log, Mix, Node, Operator, Platform, Settings, sample};
use crate::history::{Bill, Bounds, Change, History, Intent, Interruption, Leaving, Stop};
use crate::serve::unix_ms;
use crate::{Error, table};
use contract::{Object, Withdrawal, Zone};
use serde::Deserialize;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

const READY_LIMIT: Duration = Duration::from_secs(20);
const READY_PAUSE: Duration = Duration::from_millis(50);
/// Time in which nodes read the list of VMs, and homes of backend servers wait out older grants.
const LIST_PAUSE: Duration = Duration::from_millis(2_000);
const SETTLE_PAUSE: Duration = Duration::from_millis(300);
const SETTLE_ROUNDS: usize = 20;
const STOP_LIMIT: Duration = Duration::from_secs(40);
const IN_FORCE_LIMIT: Duration = Duration::from_secs(15);

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    /// Settings.
    pub settings: Settings,
    /// The platform's stand-ins.
    pub platform: Platform,
    /// Backend servers.
    pub backends: Vec<Backend>,
    /// Nodes.
    pub nodes: Vec<Node>,
    /// What happens.
    pub log: Arc<Log>,
    /// Operator whose changes are logged.
    pub operator: Operator,
    folder: PathBuf,
    changes: AtomicU64,
}

impl Fleet {
    /// Starts everything with the sample configuration and waits until all nodes serve.
    pub async fn start(settings: Settings) -> Result<Self, Error> {
        let platform = Platform::start(&settings).await?;
        let backends = Backend::start_all(&settings, &platform).await?;
        let log = Arc::new(Log::default());
        let mut fleet = Self {
            operator: Operator::new(Arc::clone(&log)),
            folder: folder()?,
            settings,
            platform,
            backends,
            nodes: Vec::new(),
            log,
            changes: AtomicU64::new(0),
        };
        let objects = sample();
        fleet.platform.seed(&objects)?;
        fleet.log_sample(&objects);
        fleet.start_nodes().await?;
        fleet.wait_serving().await?;
        Ok(fleet)
    }

    /// All nodes as callers know them.
    pub fn entries(&self) -> Vec<Entry> {
        self.nodes.iter().map(Node::entry).collect()
    }

    /// Starts callers at all nodes.
    pub fn load(&self, mix: &Mix) -> Load {
        Load::start(self.settings.seed, mix, &self.entries(), &self.log)
    }

    /// The first node in a zone.
    pub fn node_in(&self, zone: &str) -> usize {
        let found = self.nodes.iter().position(|node| node.zone == zone);
        found.unwrap_or_default()
    }

    /// Kills a node.
    pub async fn kill(&mut self, index: usize) -> Result<(), Error> {
        let node = &mut self.nodes[index];
        let at_ms = unix_ms();
        if let Some(process) = &mut node.process {
            process.kill().await?;
        }
        self.log.interruption(Interruption {
            node: node.name.clone(),
            at_ms,
            until_ms: unix_ms(),
        });
        Ok(())
    }

    /// Starts a node again with nothing kept.
    pub async fn restart(&mut self, index: usize) -> Result<(), Error> {
        self.nodes[index].start().await
    }

    /// Stops a node where it is.
    pub fn pause(&self, index: usize) -> Result<(), Error> {
        let process = self.nodes[index].process.as_ref();
        process.map_or(Ok(()), Process::pause)
    }

    /// Lets a paused node go on.
    pub fn resume(&self, index: usize) -> Result<(), Error> {
        let process = self.nodes[index].process.as_ref();
        process.map_or(Ok(()), Process::resume)
    }

    /// Stops a node as planned.
    pub async fn stop(&mut self, index: usize) -> Result<(), Error> {
        let node = &mut self.nodes[index];
        let Some(mut process) = node.process.take() else {
            return Ok(());
        };
        let at_ms = unix_ms();
        process.terminate()?;
        let status = process.wait(STOP_LIMIT).await.ok();
        self.log.stop(Stop {
            node: node.name.clone(),
            at_ms,
            ended_ms: status.map(|_| unix_ms()),
            status: status.and_then(|status| status.code()),
        });
        Ok(())
    }

    /// Changes the configuration through a node.
    pub async fn change(&self, node: usize, edit: Edit, intent: Intent) -> Change {
        self.submit(node, None, edit, intent).await
    }

    /// Changes the configuration through a node, as written against a revision.
    pub async fn change_from(&self, node: usize, base: u64, edit: Edit, intent: Intent) -> Change {
        self.submit(node, Some(base), edit, intent).await
    }

    /// Sends a change of a version's withdrawal again under the same id.
    pub async fn repeat(&self, node: usize, change: &Change) -> Change {
        let Intent::Withdraw { served, .. } = &change.intent else {
            return change.clone();
        };
        let (model, version) = served.split_once('@').unwrap_or_default();
        let edit = Edit::Put(withdrawal(model, version));
        let url = self.nodes[node].entry().url;
        self.operator.repeat(&url, change, vec![edit]).await
    }

    /// Waits until a node reports a change in force, which is written down.
    pub async fn wait_in_force(&self, node: usize, change: &Change) -> Result<Change, Error> {
        let url = self.nodes[node].entry().url;
        self.operator.wait(&url, change, IN_FORCE_LIMIT).await
    }

    /// Revision that a node has in force.
    pub async fn revision(&self, node: usize) -> Result<u64, Error> {
        let node = &self.nodes[node];
        let reading = self.operator.read(&node.name, &node.entry().url).await?;
        Ok(reading.revision)
    }

    /// Withdraws a version, or lifts its withdrawal.
    pub async fn withdraw(&self, node: usize, model: &str, version: &str, out: bool) -> Change {
        let object = withdrawal(model, version);
        let edit = if out {
            Edit::Put(object)
        } else {
            Edit::Remove(object.key())
        };
        let served = format!("{model}@{version}");
        self.change(node, edit, Intent::Withdraw { served, out })
            .await
    }

    /// Takes a zone out, or brings it back.
    pub async fn zone(&self, node: usize, zone: &str, out: bool) -> Change {
        let name = zone.to_owned();
        let edit = Edit::Put(Object::Zone(Zone {
            name: name.clone(),
            out,
        }));
        self.change(node, edit, Intent::Zone { zone: name, out })
            .await
    }

    /// Lists a backend server as leaving, or as live again.
    pub fn leave(&self, backend: usize, leaving: bool) {
        let address = &self.backends[backend].address;
        let state = if leaving { "leaving" } else { "live" };
        self.platform.vms.set_state(address, state);
        let lag = self.settings.vms_lag.as_millis() as u64;
        if leaving {
            self.log.leaving(Leaving {
                backend: address.clone(),
                at_ms: unix_ms() + lag,
                until_ms: None,
            });
        } else {
            self.log.returned(address, unix_ms());
        }
    }

    /// Asks every node what it has in force.
    pub async fn read_all(&self) {
        for node in self.nodes.iter().filter(|node| node.process.is_some()) {
            let url = format!("http://{}", node.http);
            if let Ok(reading) = self.operator.read(&node.name, &url).await {
                self.log.reading(reading);
            }
        }
    }

    /// Waits until bills stop coming, and gives everything that happened.
    pub async fn finish(&self) -> History {
        let mut bills = self.bills();
        for _ in 0..SETTLE_ROUNDS {
            tokio::time::sleep(SETTLE_PAUSE).await;
            let later = self.bills();
            if later == bills && !self.unbilled(&bills) {
                break;
            }
            bills = later;
        }
        self.read_all().await;
        History {
            bounds: Bounds::default(),
            runs: self.platform.recorder.runs(),
            bills: self.bills(),
            servers: self.backends.iter().map(Backend::server).collect(),
            ..self.log.history()
        }
    }

    /// Lines in which nodes wrote of a panic.
    pub fn panics(&self) -> Vec<String> {
        let logs = self.nodes.iter().map(Node::log);
        let texts = logs.filter_map(|log| std::fs::read_to_string(log).ok());
        let lines = texts.flat_map(|text| text.lines().map(str::to_owned).collect::<Vec<_>>());
        lines.filter(|line| line.contains("panicked")).collect()
    }

    /// Folder with the output of the nodes.
    pub fn folder(&self) -> &PathBuf {
        &self.folder
    }

    async fn submit(&self, node: usize, base: Option<u64>, edit: Edit, intent: Intent) -> Change {
        let number = self.changes.fetch_add(1, Ordering::Relaxed);
        let id = format!("change-{number}");
        let url = self.nodes[node].entry().url;
        self.operator
            .change(&url, &id, base, vec![edit], intent)
            .await
    }

    fn unbilled(&self, bills: &[Bill]) -> bool {
        let answered = self.log.history().requests;
        let answered = answered
            .iter()
            .filter(|request| request.answered() && request.served.is_some());
        answered.count() > bills.len()
    }

    fn bills(&self) -> Vec<Bill> {
        let rows = self.platform.table.store().partitions("bill");
        rows.iter().flat_map(read_bills).collect()
    }

    async fn start_nodes(&mut self) -> Result<(), Error> {
        let zones = self.settings.zones.clone();
        for (zone, count) in &zones {
            for number in 1..=*count {
                let name = format!("{zone}{number}");
                let (settings, platform) = (&self.settings, &self.platform);
                let mut node = Node::prepare(&name, zone, settings, platform, &self.folder).await?;
                self.platform.vms.put(node.target());
                node.start().await?;
                self.nodes.push(node);
            }
        }
        Ok(())
    }

    /// Writes down the sample configuration, which is in place from the start.
    fn log_sample(&self, objects: &[Object]) {
        for object in objects {
            let Object::Contract(contract) = object else {
                continue;
            };
            let at_ms = unix_ms();
            self.log.change(Change {
                id: "seed".to_owned(),
                intent: Intent::Allow {
                    customer: contract.customer.clone(),
                    models: contract.models.clone(),
                },
                sent_ms: at_ms,
                accepted_ms: Some(at_ms),
                in_force_ms: None,
                revision: Some(1),
                rejected: false,
            });
        }
    }

    /// Waits until every node starts new work and has read the list of VMs.
    async fn wait_serving(&self) -> Result<(), Error> {
        let deadline = Instant::now() + READY_LIMIT;
        for node in &self.nodes {
            let url = format!("http://{}", node.http);
            while !self.serves(&node.name, &url).await {
                if Instant::now() > deadline {
                    return Err(Error::Timeout("service of all nodes"));
                }
                tokio::time::sleep(READY_PAUSE).await;
            }
        }
        tokio::time::sleep(self.settings.vms_lag + LIST_PAUSE).await;
        Ok(())
    }

    async fn serves(&self, name: &str, url: &str) -> bool {
        let reading = self.operator.read(name, url).await;
        reading.is_ok_and(|reading| reading.serving && reading.revision > 0)
    }
}

fn withdrawal(model: &str, version: &str) -> Object {
    Object::Withdrawal(Withdrawal {
        model: model.to_owned(),
        version: version.to_owned(),
        reason: "test".to_owned(),
    })
}

fn read_bills(row: &table::Item) -> Vec<Bill> {
    #[derive(Deserialize)]
    struct Line {
        request_id: String,
        customer: String,
        micros: u64,
    }
    let body = row.get("body").and_then(|body| body["S"].as_str());
    let lines: Vec<Line> = serde_json::from_str(body.unwrap_or("[]")).unwrap_or_default();
    lines
        .into_iter()
        .map(|line| Bill {
            request_id: line.request_id,
            customer: line.customer,
            micros: line.micros,
        })
        .collect()
}

/// A folder of this fleet's own for the output of its nodes.
fn folder() -> Result<PathBuf, Error> {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let name = format!("sardinebank-fleet-{}-{number}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}

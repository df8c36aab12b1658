//! One run: a site, callers, faults, and the checks.

use super::caller::ask;
use super::{Attempt, Broken, Fault, Kind, Plan, Ran, Step, check};
use crate::Error;
use crate::proxy::{self, Proxy};
use crate::site::{self, Site, StoreFault, WorkerFault};
use nix::sys::signal::Signal;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use reqwest::Client;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::Mutex;
use tokio::time::sleep;

/// Events of a stream.
const EVENTS: u64 = 5;
/// Time that a fleet has to serve again after the last fault.
const RECOVERY: Duration = Duration::from_secs(12);
/// Pause between two tries of a node that doesn't serve yet.
const LOOK: Duration = Duration::from_millis(200);

/// Size of a run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Seed of faults and callers.
    pub seed: u64,
    /// Time for which faults begin.
    pub time: Duration,
    /// Nodes.
    pub nodes: u8,
    /// Backend servers of each service.
    pub workers: usize,
    /// Callers.
    pub callers: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            seed: 1,
            time: Duration::from_secs(6),
            nodes: 3,
            workers: 3,
            callers: 8,
        }
    }
}

/// What a run showed.
#[derive(Clone, Debug)]
pub struct Report {
    /// Requests of callers.
    pub attempts: usize,
    /// Those answered with 200 and a whole body.
    pub served: usize,
    /// Promises that were broken.
    pub broken: Vec<Broken>,
}

/// A site behind proxies.
struct World {
    site: Site,
    worker_paths: Vec<Proxy>,
    store_paths: Vec<Proxy>,
    revision: u64,
    /// Number of the last start of a backend server.
    starts: u64,
}

/// Runs a seed.
pub async fn run(settings: Settings) -> Result<Report, Error> {
    let world = World::start(&settings).await?;
    let addresses: Vec<_> = world
        .site
        .nodes
        .iter()
        .map(|node| node.requests())
        .collect();
    let workers = 2 * settings.workers;
    let plan = Plan::draw(settings.seed, settings.time, addresses.len(), workers);
    let world = Arc::new(Mutex::new(world));
    let over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..settings.callers)
        .map(|index| {
            let seed = settings.seed.wrapping_mul(1000) + index as u64;
            tokio::spawn(call(addresses.clone(), seed, Arc::clone(&over)))
        })
        .collect();
    let begun = Instant::now();
    let mut faults = Vec::new();
    for step in plan.0 {
        sleep(step.at.saturating_sub(begun.elapsed())).await;
        faults.push(tokio::spawn(strike(Arc::clone(&world), step)));
    }
    for fault in faults {
        fault.await.map_err(|_| Error::Timeout("a fault's end"))??;
    }
    over.store(true, Ordering::Relaxed);
    let mut attempts = Vec::new();
    for caller in callers {
        attempts.extend(caller.await.map_err(|_| Error::Timeout("a caller's end"))?);
    }
    let (recovered, mut broken) = recover(&addresses, settings.seed).await;
    let served = attempts.iter().filter(|attempt| attempt.body.is_some());
    let served = served.filter(|attempt| attempt.status == Some(200)).count();
    let count = attempts.len();
    attempts.extend(recovered);
    let world = world.lock().await;
    broken.extend(check(&attempts, &world.runs(), EVENTS));
    if !broken.is_empty() {
        world.keep_logs(settings.seed)?;
    }
    Ok(Report {
        attempts: count,
        served,
        broken,
    })
}

impl World {
    async fn start(settings: &Settings) -> Result<Self, Error> {
        let site = Site::prepare(site::Settings {
            nodes: 0,
            desks: settings.workers,
            models: settings.workers,
            ..site::Settings::default()
        })
        .await?;
        let mut world = Self {
            site,
            worker_paths: Vec::new(),
            store_paths: Vec::new(),
            revision: 1,
            starts: 1,
        };
        for index in 0..2 * settings.workers {
            let address = world.worker(index).address();
            let path = Proxy::start(address, proxy::Settings::default()).await?;
            world.worker_paths.push(path);
            world.list(index, "ready", 1);
        }
        world.site.configure(world.revision);
        for index in 0..settings.nodes {
            let door = world.site.store.open().await?;
            let path = Proxy::start(door, proxy::Settings::default()).await?;
            world.site.start_node_at(index, path.address())?;
            world.store_paths.push(path);
        }
        for node in &world.site.nodes {
            node.until_ready(true).await?;
        }
        Ok(world)
    }

    fn worker(&self, index: usize) -> &site::Worker {
        let desks = self.site.desks.len();
        match index < desks {
            true => &self.site.desks[index],
            false => &self.site.models[index - desks],
        }
    }

    fn list(&self, index: usize, state: &str, born: u64) {
        let service = match index < self.site.desks.len() {
            true => "desk",
            false => "models",
        };
        let address = self.worker_paths[index].address();
        let worker = self.worker(index);
        self.site
            .list_at(worker, address, service, "v1", state, born);
    }

    /// Lists a backend server that has left and started again.
    fn list_new_start(&mut self, index: usize) {
        self.starts += 1;
        self.list(index, "ready", self.starts);
    }

    fn runs(&self) -> Vec<Ran> {
        let workers = self.site.desks.iter().chain(&self.site.models);
        let runs = workers.flat_map(|worker| {
            let server = worker.id().to_owned();
            worker.runs().into_iter().map(move |run| Ran {
                id: run.request.header("request-id").to_owned(),
                server: server.clone(),
            })
        });
        runs.collect()
    }

    fn keep_logs(&self, seed: u64) -> Result<(), Error> {
        for node in &self.site.nodes {
            let name = format!("sardinebank-soak-{seed}-{}.log", node.name);
            std::fs::write(std::env::temp_dir().join(name), node.log()?)?;
        }
        Ok(())
    }

    async fn begin(&mut self, fault: &Fault) -> Result<(), Error> {
        match fault {
            Fault::Worker(index, fault) => self.worker(*index).set_fault(*fault),
            Fault::WorkerPath(index, faults) => self.worker_paths[*index].set(*faults),
            Fault::StorePath(index, faults) => self.store_paths[*index].set(*faults),
            Fault::Silence(index) => self.worker_paths[*index].silence_open(),
            Fault::SilenceStore(index) => self.store_paths[*index].silence_open(),
            Fault::StoreDown => self.site.store.set_fault(StoreFault::Refuse(503), &[]),
            Fault::StoreLost => self.site.store.set_fault(StoreFault::LoseAnswers, &[]),
            Fault::Forget => self.site.store.forget(),
            Fault::Pause(index) => self.site.nodes[*index].signal(Signal::SIGSTOP)?,
            Fault::Kill(index) => self.site.nodes[*index].kill().await?,
            Fault::Stop(index) => self.site.nodes[*index].signal(Signal::SIGTERM)?,
            Fault::Leave(index) => self.list(*index, "draining", 1),
            Fault::Configure => {
                self.revision += 1;
                self.site.configure(self.revision);
            }
            Fault::ZoneOut => {
                let out = serde_json::json!({});
                self.site.store.put("op", "evacuate/z-0", Some(&out));
            }
        }
        Ok(())
    }

    async fn end(&mut self, fault: &Fault) -> Result<(), Error> {
        match fault {
            Fault::Worker(index, fault) => {
                self.worker(*index).set_fault(WorkerFault::None);
                if *fault == WorkerFault::Leaving {
                    self.list_new_start(*index);
                }
            }
            Fault::WorkerPath(index, _) => self.worker_paths[*index].heal(),
            Fault::StorePath(index, _) => self.store_paths[*index].heal(),
            Fault::StoreDown | Fault::StoreLost => {
                self.site.store.set_fault(StoreFault::None, &[]);
            }
            Fault::Pause(index) => self.site.nodes[*index].signal(Signal::SIGCONT)?,
            Fault::Kill(index) | Fault::Stop(index) => {
                let store = self.store_paths[*index].address();
                self.site.restart_node(*index, store).await?;
            }
            Fault::Leave(index) => self.list_new_start(*index),
            Fault::ZoneOut => self.site.store.put("op", "evacuate/z-0", None),
            Fault::Silence(_) | Fault::SilenceStore(_) | Fault::Forget | Fault::Configure => (),
        }
        Ok(())
    }
}

async fn strike(world: Arc<Mutex<World>>, step: Step) -> Result<(), Error> {
    world.lock().await.begin(&step.fault).await?;
    sleep(step.length).await;
    world.lock().await.end(&step.fault).await
}

async fn call(nodes: Vec<String>, seed: u64, over: Arc<AtomicBool>) -> Vec<Attempt> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let client = Client::new();
    let mut attempts = Vec::new();
    while !over.load(Ordering::Relaxed) {
        let kind = match rng.random_range(0..4) {
            0 | 1 => Kind::Once,
            2 => Kind::Again,
            _ => Kind::Stream,
        };
        let node = &nodes[rng.random_range(0..nodes.len())];
        attempts.push(ask(&client, node, kind, &mut rng).await);
        sleep(Duration::from_millis(rng.random_range(1..60))).await;
    }
    attempts
}

/// Asks each node for each kind until it serves it, or the time is over.
async fn recover(nodes: &[String], seed: u64) -> (Vec<Attempt>, Vec<Broken>) {
    let mut rng = SmallRng::seed_from_u64(!seed);
    let (mut attempts, mut broken) = (Vec::new(), Vec::new());
    let begun = Instant::now();
    for (index, node) in nodes.iter().enumerate() {
        for kind in [Kind::Once, Kind::Again, Kind::Stream] {
            loop {
                let attempt = ask(&Client::new(), node, kind, &mut rng).await;
                let served = attempt.status == Some(200) && attempt.body.is_some();
                attempts.push(attempt);
                if served {
                    break;
                }
                if begun.elapsed() > RECOVERY {
                    broken.push(Broken::Recovery { node: index, kind });
                    break;
                }
                sleep(LOOK).await;
            }
        }
    }
    (attempts, broken)
}

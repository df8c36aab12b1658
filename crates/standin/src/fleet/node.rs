//! A node behind proxies.

use super::{Entry, Platform, Process, Settings, node_binary};
use crate::Error;
use crate::proxy::{self, Proxy};
use crate::serve::free_address;
use crate::vms::Target;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Key of operators in tests.
pub(super) const OPERATOR_KEY: &str = "operator-key-of-tests";
const LINK_KEY: &str = "link-key-of-tests-1";
const SESSION_KEY: &str = "session-key-of-tests-1";
const START_LIMIT: Duration = Duration::from_secs(20);
const START_PAUSE: Duration = Duration::from_millis(25);

/// A node and the proxies around it; each is a kind of link that can fail alone.
#[derive(Debug)]
pub struct Node {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Its own HTTP address, which no caller is told.
    pub http: SocketAddr,
    /// From callers to the node, where callers use proxies.
    pub front: Proxy,
    /// From other nodes to the node; this address is advertised.
    pub link: Proxy,
    /// To the table service.
    pub table: Proxy,
    /// To the object store.
    pub store: Proxy,
    /// To the list of VMs.
    pub vms: Proxy,
    /// To the rating service.
    pub ratings: Proxy,
    /// The process, while one runs.
    pub process: Option<Process>,
    own_link: SocketAddr,
    caller_proxy: bool,
    flags: Vec<(String, String)>,
    log: PathBuf,
}

impl Node {
    /// Prepares a node; it runs from `start` on.
    pub async fn prepare(
        name: &str,
        zone: &str,
        settings: &Settings,
        platform: &Platform,
        folder: &Path,
    ) -> Result<Self, Error> {
        let http = free_address().await?;
        let own_link = free_address().await?;
        let proxy = |target: SocketAddr| {
            let seed = settings.seed;
            let settings = proxy::Settings {
                seed,
                ..proxy::Settings::default()
            };
            Proxy::start(target, settings)
        };
        Ok(Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            http,
            front: proxy(http).await?,
            link: proxy(own_link).await?,
            table: proxy(platform.table.address()).await?,
            store: proxy(platform.objects.address()).await?,
            vms: proxy(platform.vms.address()).await?,
            ratings: proxy(platform.ratings.address()).await?,
            process: None,
            own_link,
            caller_proxy: settings.caller_proxies,
            flags: settings.flags.clone(),
            log: folder.join(format!("{name}.log")),
        })
    }

    /// Starts the process with nothing kept, and waits until it answers.
    pub async fn start(&mut self) -> Result<(), Error> {
        let program = node_binary()?;
        let mut process = Process::start(&self.name, &program, &self.arguments(), &self.log)?;
        let url = format!("http://{}/v1/entries", self.http);
        let deadline = Instant::now() + START_LIMIT;
        while reqwest::get(&url).await.is_err() {
            process.check()?;
            if Instant::now() > deadline {
                return Err(Error::Timeout("start of a node"));
            }
            tokio::time::sleep(START_PAUSE).await;
        }
        self.process = Some(process);
        Ok(())
    }

    /// Address that callers are told.
    pub fn advertised(&self) -> SocketAddr {
        if self.caller_proxy {
            self.front.address()
        } else {
            self.http
        }
    }

    /// The node as callers know it.
    pub fn entry(&self) -> Entry {
        Entry {
            node: self.name.clone(),
            url: format!("http://{}", self.advertised()),
        }
    }

    /// Entry of the list of VMs for this node.
    pub fn target(&self) -> Target {
        Target::entry(&self.advertised().to_string(), &self.zone, &self.name)
    }

    /// File with everything that the process printed.
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// All proxies between the node and the platform.
    pub fn platform_proxies(&self) -> [&Proxy; 4] {
        [&self.table, &self.store, &self.vms, &self.ratings]
    }

    fn arguments(&self) -> Vec<String> {
        let own = [
            ("--node", self.name.clone()),
            ("--zone", self.zone.clone()),
            ("--http", self.http.to_string()),
            ("--link", self.own_link.to_string()),
            ("--advertise-http", self.advertised().to_string()),
            ("--advertise-link", self.link.address().to_string()),
            ("--table-url", self.table.url()),
            ("--store-url", self.store.url()),
            ("--vms-url", format!("{}/v1/vms", self.vms.url())),
            ("--ratings-url", self.ratings.url()),
            ("--operator-key", OPERATOR_KEY.to_owned()),
            ("--link-key", LINK_KEY.to_owned()),
            ("--session-key", SESSION_KEY.to_owned()),
        ];
        let own = own.map(|(flag, value)| (flag.to_owned(), value));
        own.iter()
            .chain(&self.flags)
            .flat_map(|(flag, value)| [flag.clone(), value.clone()])
            .collect()
    }
}

//! Parts that a node is put together from.

use crate::decide::{self, Decide, Funds};
use crate::link::{self, Hub};
use crate::sync::{self, Replica};
use contract::{Incarnation, Member};
use platform::{ratings, table, vms};
use settings::Ring;
use settings::node::Settings;
use std::net::SocketAddr;
use std::sync::Arc;

/// Renewals within the time of a lease.
const LEASE_RENEWALS: u32 = 3;
/// Heartbeats missed on a link before it is replaced.
const SILENT_HEARTBEATS: u32 = 4;

/// Parts that a node is put together from.
pub struct Parts {
    /// The configuration and the members.
    pub replica: Arc<Replica<table::Client>>,
    /// Links to other nodes.
    pub hub: Arc<Hub>,
    /// Plans, placement and what they learn from.
    pub decide: Arc<Decide>,
    /// Shares of customers' budgets.
    pub funds: Funds<table::Client>,
}

impl Parts {
    /// Builds the parts of a node from its settings; nothing runs yet.
    ///
    /// ```
    /// let settings = settings::node::Settings { node: "n1".into(), ..Default::default() };
    /// let parts = node::app::Parts::new(&settings, 1)?;
    /// assert_eq!(parts.replica.incarnation(), 1);
    /// # Ok::<(), platform::Error>(())
    /// ```
    pub fn new(settings: &Settings, incarnation: Incarnation) -> Result<Self, platform::Error> {
        let table = || {
            table::Client::new(table::Settings {
                url: settings.table_url.clone(),
                table: settings.table.clone(),
                timeout: settings.platform_timeout,
                ..table::Settings::default()
            })
        };
        let ratings = ratings::Client::new(ratings::Settings {
            url: settings.ratings_url.clone(),
            ..ratings::Settings::default()
        })?;
        let sync = sync_settings(settings, incarnation);
        let node = settings.node.clone();
        let name = format!("{node}-{incarnation}");
        let decisions = decide::Settings::default();
        let vms = vms::Client::new(vms::Settings {
            url: settings.vms_url.clone(),
            timeout: settings.platform_timeout,
            ..vms::Settings::default()
        })?;
        let hub = Hub::new(link::Settings {
            member: sync.member.clone(),
            keys: Ring::new(settings.link_key.clone()),
            connect_timeout: settings.connect_timeout,
            ..link::Settings::default()
        });
        Ok(Self {
            replica: Replica::new(sync, table()?, Arc::clone(&hub), Some(vms)),
            hub,
            funds: Funds::new(decisions.spend.clone(), table()?, name),
            decide: Arc::new(Decide::new(decisions, node, incarnation, ratings)),
        })
    }
}

fn sync_settings(settings: &Settings, incarnation: Incarnation) -> sync::Settings {
    sync::Settings {
        member: Member {
            node: settings.node.clone(),
            incarnation,
            zone: settings.zone.clone(),
            http: settings.advertise_http.unwrap_or(settings.http).to_string(),
            link: settings.advertise_link.unwrap_or(settings.link).to_string(),
            leaving: false,
        },
        seeds: settings.peer.iter().map(SocketAddr::to_string).collect(),
        view: view::Settings {
            horizon: settings.horizon,
            heartbeat: settings.heartbeat,
            silence: settings.heartbeat * SILENT_HEARTBEATS,
            ..view::Settings::default()
        },
        poll: settings.poll,
        accept_timeout: settings.accept_timeout,
        lease_ttl: settings.lease,
        lease_interval: settings.lease / LEASE_RENEWALS,
        ..sync::Settings::default()
    }
}

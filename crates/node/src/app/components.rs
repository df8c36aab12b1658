//! Components that a node is put together from.

use crate::bill::{self, Bills};
use crate::link::{self, Hub};
use crate::record::Claims;
use crate::schedule::{self, Budgets, Scheduler};
use crate::slot::Slots;
use crate::sync::{self, Replica};
use clients::{ratings, table, vms};
use contract::{Incarnation, Member, Owner};
use limits::slot;
use settings::Ring;
use settings::node::Settings;
use std::net::SocketAddr;
use std::sync::Arc;

/// Renewals within the time of a lease.
const LEASE_RENEWALS: u32 = 3;
/// Renewals within the time of a grant.
const GRANT_RENEWALS: u32 = 3;
/// Heartbeats missed on a link before it is replaced.
const SILENT_HEARTBEATS: u32 = 4;

/// Components that a node is put together from.
pub struct Components {
    /// The configuration and the members.
    pub replica: Arc<Replica<table::Client>>,
    /// Links to other nodes.
    pub hub: Arc<Hub>,
    /// Plans, placement and what they learn from.
    pub scheduler: Arc<Scheduler>,
    /// Shares of customers' budgets.
    pub budgets: Budgets<table::Client>,
    /// What this node may send to backend servers.
    pub slots: Arc<Slots>,
    /// Records of calls that may not be repeated.
    pub claims: Arc<Claims<table::Client>>,
    /// Bills on their way to the table.
    pub bills: Arc<Bills<table::Client>>,
}

impl Components {
    /// Builds the parts of a node from its settings; nothing runs yet.
    ///
    /// ```
    /// let settings = settings::node::Settings { node: "n1".into(), ..Default::default() };
    /// let components = node::app::Components::new(&settings, 1)?;
    /// assert_eq!(components.replica.incarnation(), 1);
    /// # Ok::<(), clients::Error>(())
    /// ```
    pub fn new(settings: &Settings, incarnation: Incarnation) -> Result<Self, clients::Error> {
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
        let owner = Owner::new(&node, incarnation);
        let name = format!("{node}-{incarnation}");
        let decisions = schedule::Settings {
            policy: settings.policy.parse().unwrap_or_default(),
            ..schedule::Settings::default()
        };
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
            slots: Slots::new(owner.clone(), slot_settings(settings)),
            claims: Claims::new(table()?, owner.clone(), ledger::record::Settings::default()),
            bills: Bills::new(table()?, owner, bill_settings(settings)),
            budgets: Budgets::new(decisions.spend.clone(), table()?, name),
            scheduler: Arc::new(Scheduler::new(decisions, node, incarnation, ratings)),
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
        poll_interval: settings.poll,
        accept_timeout: settings.accept_timeout,
        lease_ttl: settings.lease,
        lease_interval: settings.lease / LEASE_RENEWALS,
        ..sync::Settings::default()
    }
}

fn slot_settings(settings: &Settings) -> slot::Settings {
    slot::Settings {
        ttl: settings.grant_ttl,
        horizon: settings.horizon,
        renew_interval: settings.grant_ttl / GRANT_RENEWALS,
        ..slot::Settings::default()
    }
}

fn bill_settings(settings: &Settings) -> bill::Settings {
    bill::Settings {
        ledger: ledger::bill::Settings {
            flush: settings.bill_flush,
            ..ledger::bill::Settings::default()
        },
        ..bill::Settings::default()
    }
}

//! Construction of a node's components from its settings.

use crate::bill::{self, Bills};
use crate::link::{self, Hub};
use crate::record::Claims;
use crate::schedule::{self, Budgets, Scheduler};
use crate::slot::Slots;
use crate::sync::{self, Replica};
use clients::{ratings, table, vms};
use contract::{Incarnation, Member, Owner};
use limits::slot;
use settings::Keyring;
use settings::node::Settings;
use std::net::SocketAddr;
use std::sync::Arc;

/// Renewals of a lease within its time to live.
const LEASE_RENEWALS: u32 = 3;
/// Renewals of a slot grant within its time to live.
const GRANT_RENEWALS: u32 = 3;
/// Number of heartbeat intervals without a frame after which a link is replaced.
const SILENT_HEARTBEATS: u32 = 4;

/// Components of a node, passed to [`App::new`](crate::app::App::new).
pub struct Components {
    /// Replica of the configuration and of the member list.
    pub replica: Arc<Replica<table::Client>>,
    /// Links to other nodes.
    pub hub: Arc<Hub>,
    /// Selects models and backend servers, and collects the measurements this is based on.
    pub scheduler: Arc<Scheduler>,
    /// This node's shares of customers' budgets.
    pub budgets: Budgets<table::Client>,
    /// Slots at backend servers that are granted to this node.
    pub slots: Arc<Slots>,
    /// Records of calls that must not run twice.
    pub claims: Arc<Claims<table::Client>>,
    /// Bills that are waiting to be written to the table.
    pub bills: Arc<Bills<table::Client>>,
}

impl Components {
    /// Creates the components from the settings, without starting any background task.
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
        let grant_prefix = format!("{node}-{incarnation}");
        let schedule = schedule::Settings {
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
            keys: Keyring::new(settings.link_key.clone()),
            connect_timeout: settings.connect_timeout,
            ..link::Settings::default()
        });
        Ok(Self {
            replica: Replica::new(sync, table()?, Arc::clone(&hub), Some(vms)),
            hub,
            slots: Slots::new(owner.clone(), slot_settings(settings)),
            claims: Claims::new(table()?, owner.clone(), ledger::record::Settings::default()),
            bills: Bills::new(table()?, owner, bill_settings(settings)),
            budgets: Budgets::new(schedule.spend.clone(), table()?, grant_prefix),
            scheduler: Arc::new(Scheduler::new(schedule, node, incarnation, ratings)),
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
            silence_timeout: settings.heartbeat * SILENT_HEARTBEATS,
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
            flush_age: settings.bill_flush,
            ..ledger::bill::Settings::default()
        },
        ..bill::Settings::default()
    }
}

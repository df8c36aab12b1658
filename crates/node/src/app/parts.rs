//! Parts that a node is put together from.

use crate::decide::{self, Decide, Funds};
use crate::link::{self, Hub};
use crate::sync::{self, Replica};
use contract::{Incarnation, Member};
use platform::{ratings, table};
use settings::node::Settings;
use std::sync::Arc;

/// Renewals within the time of a lease.
const LEASE_RENEWALS: u32 = 3;

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
        let decisions = decide::Settings {
            policy: settings.policy.parse().unwrap_or_default(),
            ..decide::Settings::default()
        };
        let keys = settings.link_key.iter().map(|key| key.expose().to_owned());
        Ok(Self {
            replica: Replica::new(sync, table()?),
            hub: Hub::new(link::Settings {
                keys: keys.collect(),
                ..link::Settings::default()
            }),
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
        poll: settings.poll,
        lease_ttl: settings.lease,
        lease_interval: settings.lease / LEASE_RENEWALS,
        ..sync::Settings::default()
    }
}

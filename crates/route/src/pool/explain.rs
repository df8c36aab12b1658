//! Explains where a request would go, without sending it.

use super::pool::zone_draw;
use super::price::Price;
use super::{Obstacle, Pool, Query, Server, Terms, name_hash};
use crate::server::Listing;
use crate::zone::{Decision, Scope};
use crate::{ServerId, Version, Zone};
use contract::Map;
use serde::{Deserialize, Serialize};
use std::time::Instant;

/// Random draws for which a request is placed. Each request is placed by one draw.
const DRAWS: usize = 200;

/// Where a request would go now, and why.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Explanation {
    /// The service.
    pub service: String,
    /// Availability zone of the node.
    pub zone: Zone,
    /// Number of random draws for which the request was placed.
    pub draws: usize,
    /// Draws in which it would be refused, or wait.
    pub refused: usize,
    /// Share of the requests that leaves the zone to even out the load, as last decided.
    pub leaving: Decision,
    /// Server that has most likely cached the shared parts of the prompt.
    pub preferred: Option<ServerId>,
    /// All backend servers of the service, the most likely first.
    pub candidates: Vec<Candidate>,
}

/// A backend server for a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Candidate {
    /// Its id.
    pub server: ServerId,
    /// Its availability zone.
    pub zone: Zone,
    /// Its version.
    pub version: Version,
    /// Draws in which it would get the request.
    pub chosen: usize,
    /// Requests on it, as far as the node knows.
    pub requests: u32,
    /// Why it would get no request.
    pub obstacle: Option<Obstacle>,
    /// Its cost in milliseconds: the server with the least among a few that are drawn gets the request.
    pub cost: f64,
    /// The cost by cause.
    pub terms: Terms,
}

impl Pool {
    /// Explains where a request would go now. Nothing is sent, counted or changed.
    ///
    /// ```
    /// use route::pool::{Pool, Query, Work};
    /// let work = Work::default();
    /// let query = Query { service: "s", model: None, model_hash: 0, work: &work, zone: "a", tried: &[], draw: 0 };
    /// let explanation = Pool::default().explain(std::time::Instant::now(), &query, |_| true);
    /// assert_eq!(explanation.refused, explanation.draws);
    /// ```
    pub fn explain(
        &self,
        now: Instant,
        query: &Query,
        allows: impl Fn(&Listing) -> bool,
    ) -> Explanation {
        let mut chosen: Map<ServerId, usize> = Map::default();
        let mut explanation = Explanation {
            service: query.service.to_owned(),
            zone: query.zone.to_owned(),
            draws: DRAWS,
            ..Explanation::default()
        };
        let speeds = self.estimator(query.service).speeds();
        let mut balance = self.balances.get(query.service).cloned();
        let mut scope = Scope::All;
        for index in 0..DRAWS {
            let draw = name_hash(&index.to_string());
            let query = Query { draw, ..*query };
            if let Some(balance) = &mut balance {
                let cost = Price::new(&self.settings, speeds, &query);
                scope = balance.scope(now, query.zone, zone_draw(&query), &cost);
                explanation.leaving = balance.decision();
            }
            match self.pick_in(now, &query, &scope, &allows) {
                Ok(listing) => *chosen.entry(listing.id).or_default() += 1,
                Err(_) => explanation.refused += 1,
            }
        }
        let own = match scope {
            Scope::All => Scope::All,
            _ => Scope::Own,
        };
        let preferred = self.preferred_server(query, &own, &allows).cloned();
        let servers = self.servers.values();
        let servers = servers.filter(|server| server.listing.service == query.service);
        let candidate = |server: &Server| {
            let is_preferred = preferred.as_ref() == Some(&server.listing.id);
            let capacity = self.capacities.get(query.service);
            let capacity = capacity.copied().unwrap_or_default();
            let settings = &self.settings;
            let terms = Terms::of(
                settings,
                &speeds,
                now,
                server,
                query,
                &capacity,
                is_preferred,
            );
            let listing = &server.listing;
            Candidate {
                server: listing.id.clone(),
                zone: listing.zone.clone(),
                version: listing.version.clone(),
                chosen: chosen.get(&listing.id).copied().unwrap_or_default(),
                requests: server.load().requests,
                obstacle: self.exclusion(now, server, &allows),
                cost: terms.total(),
                terms,
            }
        };
        explanation.candidates = servers.map(candidate).collect();
        explanation.candidates.sort_by(|left, right| {
            right
                .chosen
                .cmp(&left.chosen)
                .then(left.cost.total_cmp(&right.cost))
        });
        explanation.preferred = preferred;
        explanation
    }

    fn exclusion(
        &self,
        now: Instant,
        server: &Server,
        allows: impl Fn(&Listing) -> bool,
    ) -> Option<Obstacle> {
        if !server.accepts_work() {
            return Some(Obstacle::Leaving);
        }
        if self.zones_out.contains(&server.listing.zone) {
            return Some(Obstacle::ZoneOut);
        }
        if !allows(&server.listing) {
            return Some(Obstacle::Version);
        }
        self.obstacle(now, server)
    }
}

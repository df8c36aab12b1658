//! What a home keeps for one backend server.

use super::{Charge, Grant, Handover, Ramp, Request, Server, Settings, holding::Holding};
use contract::{Map, Owner, Revision, Set};
use std::time::Instant;

/// Ramp, holders and times of one backend server.
#[derive(Debug)]
pub(super) struct Book {
    pub(super) server: Server,
    pub(super) ramp: Ramp,
    /// Revision that made this node the home.
    pub(super) fence: Revision,
    /// When that revision was seen to be accepted.
    settled: Option<Instant>,
    /// Owners that may have grants of an earlier home, or work in flight under them.
    unconfirmed: Set<Owner>,
    /// Whether these are all such owners.
    complete: bool,
    holders: Map<Owner, Holding>,
    /// Whether the load found at the change of home has been taken over.
    carried: bool,
    /// Whether the home before has handed over.
    handed: bool,
}

impl Book {
    pub(super) fn new(server: Server, fence: Revision, owners: Set<Owner>) -> Self {
        Self {
            ramp: Ramp::new(&server),
            server,
            fence,
            settled: None,
            unconfirmed: owners,
            complete: true,
            holders: Map::default(),
            carried: false,
            handed: false,
        }
    }

    /// What the next home must know; none while this home itself doesn't know it all.
    pub(super) fn hand_over(
        &self,
        now: Instant,
        fence: Revision,
        settings: &Settings,
    ) -> Option<Handover> {
        if !self.ready(now, settings) || self.uncertain(now, settings) {
            return None;
        }
        let charges = self.holders.iter().map(|(owner, holding)| Charge {
            owner: owner.clone(),
            sequence: holding.answered(),
            slots: holding.charge(now, settings.ttl, settings.max_run_time),
        });
        Some(Handover {
            fence,
            ramp: self.ramp.clone(),
            charges: charges.collect(),
        })
    }

    /// Takes over from the home before; too late once this home is ready by itself.
    pub(super) fn take_over(&mut self, now: Instant, handover: Handover, settings: &Settings) {
        if handover.fence != self.fence || self.ready(now, settings) {
            return;
        }
        self.handed = true;
        self.carried = true;
        self.unconfirmed.clear();
        self.ramp = handover.ramp;
        self.ramp.cap(&self.server);
        for Charge {
            owner,
            sequence,
            slots,
        } in handover.charges
        {
            match self.holders.get_mut(&owner) {
                Some(holding) => holding.precede(sequence, slots),
                None => {
                    let holding = Holding::handed(now, sequence, slots);
                    self.holders.insert(owner, holding);
                }
            }
        }
    }

    /// Members may have come and gone unseen: their grants have to be waited out.
    pub(super) fn mark_owners_incomplete(&mut self) {
        self.complete = false;
    }

    pub(super) fn mark_accepted(&mut self, now: Instant) {
        self.settled.get_or_insert(now);
    }

    /// Whether every grant of an earlier home has ended.
    pub(super) fn ready(&self, now: Instant, settings: &Settings) -> bool {
        let waited = |settled| now >= settled + settings.handover_wait();
        let confirmed = self.complete && self.unconfirmed.is_empty();
        self.handed || self.settled.is_some_and(|at| confirmed || waited(at))
    }

    /// Whether work may be in flight that nobody has reported.
    fn uncertain(&self, now: Instant, settings: &Settings) -> bool {
        let bound = settings.handover_wait() + settings.max_run_time;
        self.warms()
            && !self.unconfirmed.is_empty()
            && self.settled.is_none_or(|settled| now < settled + bound)
    }

    /// Whether the server has a cold start, so that unreported work there matters.
    pub(super) fn warms(&self) -> bool {
        self.server.cold_slots < self.server.slots
    }

    /// Takes the server's own count of running requests, read once all earlier grants had ended.
    pub(super) fn observe(&mut self, now: Instant, running: u32, settings: &Settings) {
        let known: u32 = self.charges(now, settings).map(|(_, charge)| charge).sum();
        if running <= known {
            self.unconfirmed.clear();
        }
    }

    /// Owners whose work in flight isn't known yet.
    pub(super) fn unconfirmed(&self) -> usize {
        self.unconfirmed.len()
    }

    /// Answers a request and remembers the answer.
    pub(super) fn answer(
        &mut self,
        now: Instant,
        owner: &Owner,
        request: &Request,
        fresh: bool,
        settings: &Settings,
    ) -> Grant {
        let chilled = self.hear(now, owner, request, settings);
        if chilled {
            self.reset_ramp();
        }
        let slots = match fresh && self.ready(now, settings) && !self.uncertain(now, settings) {
            true => self.allot(now, owner, request, settings),
            false => 0,
        };
        let grant = self.make(request.sequence, slots, settings);
        if let Some(holding) = self.holders.get_mut(owner) {
            let unmet = (slots < request.wanted).then(|| holding.waiting.unwrap_or(now));
            holding.waiting = unmet;
            holding.grant(&grant);
        }
        grant
    }

    /// Grants that withdraw all slots of other holders, by owner.
    pub(super) fn revocations(
        &self,
        except: Option<&Owner>,
        settings: &Settings,
    ) -> Vec<(Owner, Grant)> {
        self.holders
            .iter()
            .filter(|(owner, _)| Some(*owner) != except)
            .map(|(owner, holding)| {
                let grant = self.make(holding.report().sequence, 0, settings);
                (owner.clone(), grant)
            })
            .collect()
    }

    /// Whether a report isn't newer than the last one of its owner.
    pub(super) fn stale(&self, owner: &Owner, request: &Request) -> bool {
        self.holders
            .get(owner)
            .is_some_and(|holding| request.sequence <= holding.report().sequence)
    }

    pub(super) fn reset_ramp(&mut self) {
        self.ramp.reset(&self.server);
        self.carried = true;
        self.holders.values_mut().for_each(Holding::rebase);
    }

    /// Slots that may be occupied now, over all holders.
    pub(super) fn occupied(&self, now: Instant, settings: &Settings) -> u32 {
        self.charges(now, settings).map(|(_, charge)| charge).sum()
    }

    /// A grant of this book.
    pub(super) fn make(&self, sequence: u64, slots: u32, settings: &Settings) -> Grant {
        Grant {
            sequence,
            slots,
            ttl: settings.ttl,
            fence: self.fence,
        }
    }

    /// Takes a report; true when it brings a new sign of a cold start.
    fn hear(
        &mut self,
        now: Instant,
        owner: &Owner,
        request: &Request,
        settings: &Settings,
    ) -> bool {
        self.forget(now, settings);
        let holding = self
            .holders
            .entry(owner.clone())
            .or_insert_with(|| Holding::new(now));
        let chilled =
            request.cold_signals > 0 && request.cold_signals != holding.report().cold_signals;
        holding.hear(now, request);
        if holding.confirmed() {
            self.unconfirmed.remove(owner);
        }
        let completed = holding.completions();
        self.ramp.record_completions(&self.server, completed);
        if !self.carried && self.ready(now, settings) {
            self.carried = true;
            let running = self
                .holders
                .values()
                .map(|one| one.report().in_flight)
                .sum();
            self.ramp.raise_to(&self.server, running);
        }
        chilled
    }

    /// Drops holders that occupy nothing and ask for nothing.
    fn forget(&mut self, now: Instant, settings: &Settings) {
        self.holders.retain(|_, holding| {
            holding.recent(now, settings.ttl)
                || holding.charge(now, settings.ttl, settings.max_run_time) > 0
        });
    }

    /// Max-min fair share of what is free; a holder that has waited longer goes first.
    fn allot(&self, now: Instant, owner: &Owner, request: &Request, settings: &Settings) -> u32 {
        if !self.server.accepts_work {
            return 0;
        }
        let limit = self.ramp.limit();
        let others: u32 = self
            .charges(now, settings)
            .filter(|(other, _)| *other != owner)
            .map(|(_, charge)| charge)
            .sum();
        let free = limit.saturating_sub(others);
        let fair = limit / self.askers(now, settings).max(1);
        let wanted = request.wanted.min(free);
        if wanted <= fair {
            return wanted;
        }
        let ahead = self.ahead(now, owner, fair, settings);
        wanted.min(free.saturating_sub(ahead)).max(fair.min(free))
    }

    /// Slots to leave for holders that have waited longer than this one.
    fn ahead(&self, now: Instant, owner: &Owner, fair: u32, settings: &Settings) -> u32 {
        let own = self.holders.get(owner).and_then(|holding| holding.waiting);
        self.holders
            .iter()
            .filter(|(other, holding)| *other != owner && holding.recent(now, settings.ttl))
            .filter(|(_, holding)| match (holding.waiting, own) {
                (Some(theirs), Some(own)) => theirs < own,
                (waiting, _) => waiting.is_some(),
            })
            .map(|(_, holding)| {
                let due = holding.report().wanted.min(fair.max(1));
                due.saturating_sub(holding.charge(now, settings.ttl, settings.max_run_time))
            })
            .sum()
    }

    fn askers(&self, now: Instant, settings: &Settings) -> u32 {
        let asking = self
            .holders
            .values()
            .filter(|holding| holding.recent(now, settings.ttl) && holding.report().wanted > 0)
            .count();
        u32::try_from(asking).unwrap_or(u32::MAX)
    }

    fn charges<'a>(
        &'a self,
        now: Instant,
        settings: &'a Settings,
    ) -> impl Iterator<Item = (&'a Owner, u32)> {
        self.holders.iter().map(move |(owner, holding)| {
            (
                owner,
                holding.charge(now, settings.ttl, settings.max_run_time),
            )
        })
    }
}

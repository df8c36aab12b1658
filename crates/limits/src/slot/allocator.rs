//! A home's state for one backend server.

use super::{Charge, Grant, Handover, Ramp, Request, Server, Settings, lease::Lease};
use contract::{Map, Owner, Revision, Set};
use std::time::Instant;

/// Allocates the slots of one backend server to holders.
#[derive(Debug)]
pub(super) struct Allocator {
    pub(super) server: Server,
    pub(super) ramp: Ramp,
    /// Revision that made this node the home; the fencing token of its grants.
    pub(super) fence: Revision,
    /// When this node learned that the revision was accepted.
    accepted_at: Option<Instant>,
    /// Owners that may have grants of an earlier home, or requests in flight under such grants.
    unconfirmed: Set<Owner>,
    /// Whether `unconfirmed` is known to list all such owners.
    owners_complete: bool,
    leases: Map<Owner, Lease>,
    /// Whether the ramp reflects the load found when this node became the home.
    load_adopted: bool,
    /// Whether the previous home has handed over.
    handed_over: bool,
}

impl Allocator {
    pub(super) fn new(server: Server, fence: Revision, owners: Set<Owner>) -> Self {
        Self {
            ramp: Ramp::new(&server),
            server,
            fence,
            accepted_at: None,
            unconfirmed: owners,
            owners_complete: true,
            leases: Map::default(),
            load_adopted: false,
            handed_over: false,
        }
    }

    /// State for the next home. `None` while this home doesn't have the complete state itself.
    pub(super) fn hand_over(
        &self,
        now: Instant,
        fence: Revision,
        settings: &Settings,
    ) -> Option<Handover> {
        if !self.is_ready(now, settings) || self.may_have_unreported_work(now, settings) {
            return None;
        }
        let charges = self.leases.iter().map(|(owner, lease)| Charge {
            owner: owner.clone(),
            sequence: lease.last_answered(),
            slots: lease.charge(now, settings.ttl, settings.max_run_time),
        });
        Some(Handover {
            fence,
            ramp: self.ramp.clone(),
            charges: charges.collect(),
        })
    }

    /// Takes over from the previous home. Ignored once this home is ready without it, and if the
    /// handover is for another revision.
    pub(super) fn take_over(&mut self, now: Instant, handover: Handover, settings: &Settings) {
        if handover.fence != self.fence || self.is_ready(now, settings) {
            return;
        }
        self.handed_over = true;
        self.load_adopted = true;
        self.unconfirmed.clear();
        self.ramp = handover.ramp;
        self.ramp.cap(&self.server);
        for Charge {
            owner,
            sequence,
            slots,
        } in handover.charges
        {
            match self.leases.get_mut(&owner) {
                Some(lease) => lease.add_earlier_grant(sequence, slots),
                None => {
                    let lease = Lease::from_handover(now, sequence, slots);
                    self.leases.insert(owner, lease);
                }
            }
        }
    }

    /// Notes that members may have joined and left unnoticed, so that their grants have to expire.
    pub(super) fn mark_owners_incomplete(&mut self) {
        self.owners_complete = false;
    }

    pub(super) fn mark_accepted(&mut self, now: Instant) {
        self.accepted_at.get_or_insert(now);
    }

    /// Whether the grants of earlier homes have ended or are known from a handover.
    pub(super) fn is_ready(&self, now: Instant, settings: &Settings) -> bool {
        let waited = |accepted_at| now >= accepted_at + settings.handover_wait();
        let confirmed = self.owners_complete && self.unconfirmed.is_empty();
        self.handed_over || self.accepted_at.is_some_and(|at| confirmed || waited(at))
    }

    /// Whether requests may be in flight that no holder has reported.
    fn may_have_unreported_work(&self, now: Instant, settings: &Settings) -> bool {
        let bound = settings.handover_wait() + settings.max_run_time;
        self.has_cold_start()
            && !self.unconfirmed.is_empty()
            && self.accepted_at.is_none_or(|at| now < at + bound)
    }

    /// Whether the server has a cold start. Only then does unreported work matter.
    pub(super) fn has_cold_start(&self) -> bool {
        self.server.cold_slots < self.server.slots
    }

    /// Applies the server's own count of running requests, taken after all earlier grants had
    /// ended. If it doesn't exceed the known requests, no unreported work is left.
    pub(super) fn observe(&mut self, now: Instant, running: u32, settings: &Settings) {
        let known: u32 = self.charges(now, settings).map(|(_, charge)| charge).sum();
        if running <= known {
            self.unconfirmed.clear();
        }
    }

    /// Number of owners whose requests in flight aren't known yet.
    pub(super) fn unconfirmed_owners(&self) -> usize {
        self.unconfirmed.len()
    }

    /// Answers a request and records the grant.
    pub(super) fn answer(
        &mut self,
        now: Instant,
        owner: &Owner,
        request: &Request,
        fresh: bool,
        settings: &Settings,
    ) -> Grant {
        let cold = self.record_report(now, owner, request, settings);
        if cold {
            self.reset_ramp();
        }
        let slots = match fresh
            && self.is_ready(now, settings)
            && !self.may_have_unreported_work(now, settings)
        {
            true => self.allocate(now, owner, request, settings),
            false => 0,
        };
        let grant = self.make_grant(request.sequence, slots, settings);
        if let Some(lease) = self.leases.get_mut(owner) {
            let unmet = (slots < request.wanted).then(|| lease.waiting_since.unwrap_or(now));
            lease.waiting_since = unmet;
            lease.record_grant(&grant);
        }
        grant
    }

    /// Grants that revoke the slots of all holders, except one, by owner.
    pub(super) fn revocations(
        &self,
        except: Option<&Owner>,
        settings: &Settings,
    ) -> Vec<(Owner, Grant)> {
        self.leases
            .iter()
            .filter(|(owner, _)| Some(*owner) != except)
            .map(|(owner, lease)| {
                let grant = self.make_grant(lease.report().sequence, 0, settings);
                (owner.clone(), grant)
            })
            .collect()
    }

    /// Whether a report isn't newer than the last one from its owner.
    pub(super) fn is_stale(&self, owner: &Owner, request: &Request) -> bool {
        self.leases
            .get(owner)
            .is_some_and(|lease| request.sequence <= lease.report().sequence)
    }

    /// Starts the ramp again after a sign of a cold start.
    pub(super) fn reset_ramp(&mut self) {
        self.ramp.reset(&self.server);
        self.load_adopted = true;
        self.leases.values_mut().for_each(Lease::reset_completions);
    }

    /// Number of slots that all holders together may occupy now.
    pub(super) fn occupied(&self, now: Instant, settings: &Settings) -> u32 {
        self.charges(now, settings).map(|(_, charge)| charge).sum()
    }

    /// Creates a grant with the fencing token of this home.
    pub(super) fn make_grant(&self, sequence: u64, slots: u32, settings: &Settings) -> Grant {
        Grant {
            sequence,
            slots,
            ttl: settings.ttl,
            fence: self.fence,
        }
    }

    /// Records a report. Returns whether it brings a new signal of a cold start.
    fn record_report(
        &mut self,
        now: Instant,
        owner: &Owner,
        request: &Request,
        settings: &Settings,
    ) -> bool {
        self.remove_expired(now, settings);
        let lease = self
            .leases
            .entry(owner.clone())
            .or_insert_with(|| Lease::new(now));
        let cold = request.cold_signals > 0 && request.cold_signals != lease.report().cold_signals;
        lease.record_report(now, request);
        if lease.is_confirmed() {
            self.unconfirmed.remove(owner);
        }
        let completed = lease.take_completions();
        self.ramp.record_completions(&self.server, completed);
        if !self.load_adopted && self.is_ready(now, settings) {
            self.load_adopted = true;
            let running = self.leases.values().map(|one| one.report().in_flight).sum();
            self.ramp.raise_to(&self.server, running);
        }
        cold
    }

    /// Removes holders that occupy no slots and no longer send requests.
    fn remove_expired(&mut self, now: Instant, settings: &Settings) {
        self.leases.retain(|_, lease| {
            lease.is_recent(now, settings.ttl)
                || lease.charge(now, settings.ttl, settings.max_run_time) > 0
        });
    }

    /// Number of slots to grant: the max-min fair share of the free slots. Beyond the equal share,
    /// holders that have waited longer take precedence.
    fn allocate(&self, now: Instant, owner: &Owner, request: &Request, settings: &Settings) -> u32 {
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
        let fair = limit / self.requesting_holders(now, settings).max(1);
        let wanted = request.wanted.min(free);
        if wanted <= fair {
            return wanted;
        }
        let owed = self.owed_to_earlier(now, owner, fair, settings);
        wanted.min(free.saturating_sub(owed)).max(fair.min(free))
    }

    /// Number of slots to leave for holders that have waited longer than this one.
    fn owed_to_earlier(&self, now: Instant, owner: &Owner, fair: u32, settings: &Settings) -> u32 {
        let own = self.leases.get(owner).and_then(|lease| lease.waiting_since);
        self.leases
            .iter()
            .filter(|(other, lease)| *other != owner && lease.is_recent(now, settings.ttl))
            .filter(|(_, lease)| match (lease.waiting_since, own) {
                (Some(theirs), Some(own)) => theirs < own,
                (theirs, _) => theirs.is_some(),
            })
            .map(|(_, lease)| {
                let entitled = lease.report().wanted.min(fair.max(1));
                entitled.saturating_sub(lease.charge(now, settings.ttl, settings.max_run_time))
            })
            .sum()
    }

    /// Number of holders that want slots.
    fn requesting_holders(&self, now: Instant, settings: &Settings) -> u32 {
        let count = self
            .leases
            .values()
            .filter(|lease| lease.is_recent(now, settings.ttl) && lease.report().wanted > 0)
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Slots that each holder may occupy now.
    fn charges<'a>(
        &'a self,
        now: Instant,
        settings: &'a Settings,
    ) -> impl Iterator<Item = (&'a Owner, u32)> {
        self.leases.iter().map(move |(owner, lease)| {
            (
                owner,
                lease.charge(now, settings.ttl, settings.max_run_time),
            )
        })
    }
}

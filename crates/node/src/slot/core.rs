//! Homes, grants and requests of this node; no clock, no I/O.

use super::frames;
use crate::fleet::{Kind, Server};
use contract::{BackendId, Config, Map, Membership, NodeId, Owner, Revision, Set};
use limits::slot::{self, Grant, Holder, Home, home_of};
use std::sync::Arc;
use std::time::Instant;
use wire::{Frame, SlotHandover};

/// Handovers kept until their revision is applied here.
const MAX_EARLY: usize = 4_096;

/// A frame for another node.
pub(super) type Outgoing = (NodeId, Frame);

/// This node as home and as holder.
#[derive(Debug)]
pub(super) struct Core {
    owner: Owner,
    pub(super) home: Home,
    pub(super) holder: Holder,
    homes: Map<BackendId, NodeId>,
    owners: Set<Owner>,
    revision: Revision,
    membership: Membership,
    servers: Arc<Vec<Server>>,
    /// Frames that a change of members asks for.
    handovers: Vec<Outgoing>,
    /// Handovers that came before the revision that they are for.
    early: Vec<SlotHandover>,
}

/// What a replica has seen of the members since the last look.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Seen {
    /// Nothing changed.
    Same,
    /// One change: the home before it and the home after it are both known.
    One,
    /// More than one: other homes may have been in between.
    Many,
}

impl Core {
    pub(super) fn new(owner: Owner, settings: slot::Settings) -> Self {
        Self {
            owner,
            home: Home::new(settings.clone()),
            holder: Holder::new(settings),
            homes: Map::default(),
            owners: Set::default(),
            revision: 0,
            membership: Membership::default(),
            servers: Arc::default(),
            handovers: Vec::new(),
            early: Vec::new(),
        }
    }

    /// Follows the configuration and the list of VMs.
    pub(super) fn update(&mut self, now: Instant, config: &Config, servers: &Arc<Vec<Server>>) {
        let same = Arc::ptr_eq(&self.servers, servers) && self.revision == config.revision();
        if same {
            return;
        }
        let seen = self.see(config);
        self.revision = config.revision();
        self.servers = Arc::clone(servers);
        let members: Vec<_> = config.members().collect();
        let mut owners: Set<Owner> = members
            .iter()
            .map(|one| Owner::new(&one.node, one.incarnation))
            .collect();
        std::mem::swap(&mut self.owners, &mut owners);
        // Owners of the revision before may still have work in flight.
        owners.extend(self.owners.iter().cloned());
        let mut known: Set<BackendId> = Set::default();
        for server in servers.iter() {
            known.insert(server.id.clone());
            if seen == Seen::Many {
                self.home.resign(&server.id);
            }
            let carry = carry(config, server);
            let home = home_of(members.iter().copied(), &server.zone, &server.id);
            let (Some(carry), Some(home)) = (carry, home) else {
                self.home.resign(&server.id);
                continue;
            };
            if home.node == self.owner.node {
                let fence = self.membership.revision;
                self.home
                    .assign(&server.id, carry, fence, owners.iter().cloned());
                if seen == Seen::Many {
                    self.home.mark_owners_incomplete(&server.id);
                }
            } else {
                self.cede(now, &server.id, &home.node);
            }
            self.point(now, &server.id, &home.node);
        }
        self.forget(&known);
        self.take_early(now);
    }

    /// How the members have changed since the last look.
    fn see(&mut self, config: &Config) -> Seen {
        let before = std::mem::replace(&mut self.membership, config.membership());
        if self.membership == before {
            return Seen::Same;
        }
        let followed = before.base == self.membership.base;
        match followed && before.changes + 1 == self.membership.changes {
            true => Seen::One,
            false => Seen::Many,
        }
    }

    /// Hands a backend server over to the home that follows this one.
    fn cede(&mut self, now: Instant, backend: &str, home: &str) {
        let fence = self.membership.revision;
        if let Some(handover) = self.home.hand_over(now, backend, fence) {
            let frame = frames::handover_frame(backend.to_owned(), handover);
            self.handovers.push((home.to_owned(), frame));
        }
    }

    /// Takes over from the home before this one.
    pub(super) fn handed(&mut self, now: Instant, frame: &SlotHandover) {
        if frame.fence > self.membership.revision {
            if self.early.len() < MAX_EARLY {
                self.early.push(frame.clone());
            }
            return;
        }
        let handover = frames::handover(frame);
        self.home.take_over(now, &frame.backend, handover);
    }

    fn take_early(&mut self, now: Instant) {
        for frame in std::mem::take(&mut self.early) {
            self.handed(now, &frame);
        }
    }

    /// Sends requests that are due and withdrawals; answers those for which this node is the home.
    pub(super) fn step(&mut self, now: Instant, fresh: bool) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        for (backend, request) in self.holder.requests_due(now) {
            let Some(home) = self.homes.get(&backend) else {
                continue;
            };
            if *home != self.owner.node {
                outgoing.push((home.clone(), frames::request_frame(&backend, &request)));
                continue;
            }
            let owner = self.owner.clone();
            let grant = self.home.request(now, &owner, &backend, &request, fresh);
            self.holder.grant(&backend, &grant);
        }
        outgoing.extend(self.withdrawals());
        outgoing.append(&mut self.handovers);
        outgoing
    }

    /// Answers a holder.
    pub(super) fn asked(
        &mut self,
        now: Instant,
        from: &Owner,
        frame: &wire::SlotRequest,
        fresh: bool,
    ) -> Vec<Outgoing> {
        let request = frames::request(frame);
        let grant = self
            .home
            .request(now, from, &frame.backend, &request, fresh);
        let mut outgoing = self.withdrawals();
        outgoing.push((
            from.node.clone(),
            frames::grant_frame(&frame.backend, &grant),
        ));
        outgoing
    }

    /// Takes a grant, if it comes from the home that this node knows.
    pub(super) fn granted(&mut self, from: &Owner, frame: &wire::SlotGrant) {
        let home = self.homes.get(&frame.backend);
        if home.is_some_and(|home| *home == from.node) {
            self.holder.grant(&frame.backend, &frames::grant(frame));
        }
    }

    /// The home that this node knows for a backend server.
    pub(super) fn home_of(&self, backend: &str) -> Option<&NodeId> {
        self.homes.get(backend)
    }

    fn withdrawals(&mut self) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        for (owner, backend, grant) in self.home.revocations() {
            match owner == self.owner {
                true => self.withdraw(&backend, &grant),
                false => outgoing.push((owner.node, frames::grant_frame(&backend, &grant))),
            }
        }
        outgoing
    }

    fn withdraw(&mut self, backend: &str, grant: &Grant) {
        self.holder.grant(backend, grant);
    }

    /// Notes the home of a backend server; a new one must hear what this node has in flight.
    fn point(&mut self, now: Instant, backend: &str, home: &str) {
        if self.homes.get(backend).is_some_and(|known| known == home) {
            return;
        }
        self.homes.insert(backend.to_owned(), home.to_owned());
        self.holder.home_changed(now, backend);
    }

    /// Drops backend servers that are no longer listed.
    fn forget(&mut self, known: &Set<BackendId>) {
        let gone: Vec<BackendId> = self
            .homes
            .keys()
            .filter(|backend| !known.contains(*backend))
            .cloned()
            .collect();
        for backend in gone {
            self.homes.remove(&backend);
            self.home.resign(&backend);
        }
        self.holder.retain(|backend| known.contains(backend));
    }
}

/// What the configuration lets a backend server carry; `None` when it doesn't know the server.
fn carry(config: &Config, server: &Server) -> Option<slot::Server> {
    let stays = !server.leaving && !config.is_zone_out(&server.zone);
    match &server.kind {
        Kind::Engine { model, version } => {
            let spec = config.version(model, version)?;
            Some(slot::Server {
                cold_slots: spec.cold_slots,
                slots: spec.slots,
                warm_after: spec.warm_after,
                accepts_work: stays && !config.is_withdrawn(model, version),
            })
        }
        Kind::Service(name) => Some(slot::Server {
            accepts_work: stays,
            ..slot::Server::without_cold_start(config.service(name)?.slots)
        }),
    }
}

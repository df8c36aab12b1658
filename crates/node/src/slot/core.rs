//! State machine of this node's slots, without clock and I/O.

use super::frames;
use crate::fleet::{Kind, Server};
use contract::{BackendId, Config, Map, Membership, NodeId, Owner, Revision, Set};
use limits::slot::{self, Holder, Home, home_of};
use std::sync::Arc;
use std::time::Instant;
use wire::{Frame, SlotHandover};

/// Maximum number of handovers kept until their revision is applied on this node.
const MAX_EARLY_HANDOVERS: usize = 4_096;

/// A frame to send, with its receiver.
pub(super) type Outgoing = (NodeId, Frame);

/// State of this node as home and as holder of slots.
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
    /// Handover frames to send after a membership change.
    handovers: Vec<Outgoing>,
    /// Handovers received before their revision was applied on this node.
    early_handovers: Vec<SlotHandover>,
}

/// How the membership has changed since the last update.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum MembershipChange {
    /// No change.
    Unchanged,
    /// One change, so that the homes before and after it are both known.
    Single,
    /// More than one change. There may have been other homes in between.
    Multiple,
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
            early_handovers: Vec::new(),
        }
    }

    /// Applies a new configuration or VM list.
    pub(super) fn update(&mut self, now: Instant, config: &Config, servers: &Arc<Vec<Server>>) {
        let is_unchanged =
            Arc::ptr_eq(&self.servers, servers) && self.revision == config.revision();
        if is_unchanged {
            return;
        }
        let change = self.update_membership(config);
        self.revision = config.revision();
        self.servers = Arc::clone(servers);
        let members: Vec<_> = config.members().collect();
        let mut owners: Set<Owner> = members
            .iter()
            .map(|one| Owner::new(&one.node, one.incarnation))
            .collect();
        std::mem::swap(&mut self.owners, &mut owners);
        // Owners of the previous revision may still have requests in flight.
        owners.extend(self.owners.iter().cloned());
        let mut listed: Set<BackendId> = Set::default();
        for server in servers.iter() {
            listed.insert(server.id.clone());
            if change == MembershipChange::Multiple {
                self.home.resign(&server.id);
            }
            let capacity = capacity(config, server);
            let home = home_of(members.iter().copied(), &server.zone, &server.id);
            let (Some(capacity), Some(home)) = (capacity, home) else {
                self.home.resign(&server.id);
                continue;
            };
            if home.node == self.owner.node {
                let fence = self.membership.revision;
                self.home
                    .assign(&server.id, capacity, fence, owners.iter().cloned());
                if change == MembershipChange::Multiple {
                    self.home.mark_owners_incomplete(&server.id);
                }
            } else {
                self.hand_over(now, &server.id, &home.node);
            }
            self.set_home(now, &server.id, &home.node);
        }
        self.remove_unlisted(&listed);
        self.apply_early_handovers(now);
    }

    /// Stores the membership of a configuration and returns how it has changed.
    fn update_membership(&mut self, config: &Config) -> MembershipChange {
        let before = std::mem::replace(&mut self.membership, config.membership());
        if self.membership == before {
            return MembershipChange::Unchanged;
        }
        let is_same_snapshot = before.base == self.membership.base;
        match is_same_snapshot && before.changes + 1 == self.membership.changes {
            true => MembershipChange::Single,
            false => MembershipChange::Multiple,
        }
    }

    /// Hands a backend server over to its new home, if this node was its home.
    fn hand_over(&mut self, now: Instant, backend: &str, home: &str) {
        let fence = self.membership.revision;
        if let Some(handover) = self.home.hand_over(now, backend, fence) {
            let frame = frames::handover_frame(backend.to_owned(), handover);
            self.handovers.push((home.to_owned(), frame));
        }
    }

    /// Takes over from the previous home, or keeps the handover until its revision is applied.
    pub(super) fn take_over(&mut self, now: Instant, frame: &SlotHandover) {
        if frame.fence > self.membership.revision {
            if self.early_handovers.len() < MAX_EARLY_HANDOVERS {
                self.early_handovers.push(frame.clone());
            }
            return;
        }
        let handover = frames::handover(frame);
        self.home.take_over(now, &frame.backend, handover);
    }

    fn apply_early_handovers(&mut self, now: Instant) {
        for frame in std::mem::take(&mut self.early_handovers) {
            self.take_over(now, &frame);
        }
    }

    /// Returns the frames that are due: slot requests, revocations and handovers. Requests to this
    /// node as home are answered directly.
    pub(super) fn step(&mut self, now: Instant, is_fresh: bool) -> Vec<Outgoing> {
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
            let grant = self.home.request(now, &owner, &backend, &request, is_fresh);
            self.holder.grant(&backend, &grant);
        }
        outgoing.extend(self.revocations());
        outgoing.append(&mut self.handovers);
        outgoing
    }

    /// Answers a slot request of a holder.
    pub(super) fn handle_request(
        &mut self,
        now: Instant,
        from: &Owner,
        frame: &wire::SlotRequest,
        is_fresh: bool,
    ) -> Vec<Outgoing> {
        let request = frames::request(frame);
        let grant = self
            .home
            .request(now, from, &frame.backend, &request, is_fresh);
        let mut outgoing = self.revocations();
        outgoing.push((
            from.node.clone(),
            frames::grant_frame(&frame.backend, &grant),
        ));
        outgoing
    }

    /// Applies a grant if its sender is the home known to this node.
    pub(super) fn handle_grant(&mut self, from: &Owner, frame: &wire::SlotGrant) {
        let home = self.homes.get(&frame.backend);
        if home.is_some_and(|home| *home == from.node) {
            self.holder.grant(&frame.backend, &frames::grant(frame));
        }
    }

    /// Returns the home of a backend server, as known to this node.
    pub(super) fn home_of(&self, backend: &str) -> Option<&NodeId> {
        self.homes.get(backend)
    }

    fn revocations(&mut self) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        for (owner, backend, grant) in self.home.revocations() {
            match owner == self.owner {
                true => self.holder.grant(&backend, &grant),
                false => outgoing.push((owner.node, frames::grant_frame(&backend, &grant))),
            }
        }
        outgoing
    }

    /// Sets the home of a backend server. A new home must learn which requests this node has in
    /// flight.
    fn set_home(&mut self, now: Instant, backend: &str, home: &str) {
        if self.homes.get(backend).is_some_and(|known| known == home) {
            return;
        }
        self.homes.insert(backend.to_owned(), home.to_owned());
        self.holder.home_changed(now, backend);
    }

    /// Drops the backend servers that are no longer on the VM list.
    fn remove_unlisted(&mut self, listed: &Set<BackendId>) {
        let unlisted: Vec<BackendId> = self
            .homes
            .keys()
            .filter(|backend| !listed.contains(*backend))
            .cloned()
            .collect();
        for backend in unlisted {
            self.homes.remove(&backend);
            self.home.resign(&backend);
        }
        self.holder.retain(|backend| listed.contains(backend));
    }
}

/// Returns the slots that the configuration gives a backend server, or `None` if it has no entry
/// for what the server runs.
fn capacity(config: &Config, server: &Server) -> Option<slot::Server> {
    let is_available = !server.leaving && !config.is_zone_out(&server.zone);
    match &server.kind {
        Kind::Engine { model, version } => {
            let spec = config.version(model, version)?;
            Some(slot::Server {
                cold_slots: spec.cold_slots,
                slots: spec.slots,
                warm_after: spec.warm_after,
                accepts_work: is_available && !config.is_withdrawn(model, version),
            })
        }
        Kind::Service(name) => Some(slot::Server {
            accepts_work: is_available,
            ..slot::Server::without_cold_start(config.service(name)?.slots)
        }),
    }
}

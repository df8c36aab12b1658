//! The node as the home of backend servers, whose slots it grants.

use super::{Grant, Handover, Request, Server, Settings, allocator::Allocator};
use contract::{BackendId, Map, Owner, Revision, Set};
use std::time::{Duration, Instant};

/// The home of backend servers: the one node that grants the slots of each of them.
///
/// A new home grants no slots until the previous home has handed over, every earlier owner has
/// confirmed a grant of this home, or every grant of an earlier home has expired. In the last case,
/// for a server with a cold start, it also waits until the server's own count shows that no
/// unreported request runs there, or until the longest possible request has ended.
///
/// ```
/// use limits::slot::{Home, Request, Server, Settings};
/// use contract::Owner;
/// use std::time::Instant;
/// let mut home = Home::new(Settings::default());
/// let mut now = Instant::now();
/// let n1 = Owner::new("n1", 1);
/// home.assign("e1", Server::without_cold_start(4), 7, [n1.clone()]);
/// home.mark_accepted(now, 7);
/// let request = Request { sequence: 1, wanted: 2, ..Request::default() };
/// assert_eq!(home.request(now, &n1, "e1", &request, true).slots, 0);
/// now += Settings::default().handover_wait();
/// let request = Request { sequence: 2, ..request };
/// assert_eq!(home.request(now, &n1, "e1", &request, true).slots, 2);
/// ```
#[derive(Debug)]
pub struct Home {
    settings: Settings,
    allocators: Map<BackendId, Allocator>,
    revocations: Vec<(Owner, BackendId, Grant)>,
}

impl Home {
    /// Creates a home without backend servers.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            allocators: Map::default(),
            revocations: Vec::new(),
        }
    }

    /// Makes this node the home of a backend server as of a revision, or updates the server's
    /// capacity. `owners` may have requests in flight there under grants of an earlier home.
    pub fn assign<I>(&mut self, backend: &str, server: Server, revision: Revision, owners: I)
    where
        I: IntoIterator<Item = Owner>,
    {
        let Some(allocator) = self.allocators.get_mut(backend) else {
            let owners: Set<Owner> = owners.into_iter().collect();
            self.allocators
                .insert(backend.to_owned(), Allocator::new(server, revision, owners));
            return;
        };
        let closes = allocator.server.accepts_work && !server.accepts_work;
        allocator.ramp.cap(&server);
        allocator.server = server;
        if closes {
            self.revoke(backend, None);
        }
    }

    /// Notes that owners not passed to `assign` may hold grants of an earlier home.
    pub fn mark_owners_incomplete(&mut self, backend: &str) {
        if let Some(allocator) = self.allocators.get_mut(backend) {
            allocator.mark_owners_incomplete();
        }
    }

    /// Gives up a backend server and drops its state.
    pub fn resign(&mut self, backend: &str) {
        self.allocators.remove(backend);
    }

    /// Gives up a backend server as of a revision and returns the state for the next home. Valid
    /// only if no other node was the home in between.
    ///
    /// ```
    /// use limits::slot::{Home, Request, Server, Settings};
    /// use contract::Owner;
    /// use std::time::Instant;
    /// let now = Instant::now();
    /// let later = now + Settings::default().handover_wait();
    /// let n1 = Owner::new("n1", 1);
    /// let mut old = Home::new(Settings::default());
    /// old.assign("e1", Server::without_cold_start(4), 7, [n1.clone()]);
    /// old.mark_accepted(now, 7);
    /// let mut new = Home::new(Settings::default());
    /// new.assign("e1", Server::without_cold_start(4), 8, [n1.clone()]);
    /// new.take_over(later, "e1", old.hand_over(later, "e1", 8).unwrap());
    /// let request = Request { sequence: 1, wanted: 2, ..Request::default() };
    /// assert_eq!(new.request(later, &n1, "e1", &request, true).slots, 2);
    /// ```
    pub fn hand_over(&mut self, now: Instant, backend: &str, fence: Revision) -> Option<Handover> {
        let allocator = self.allocators.remove(backend)?;
        allocator.hand_over(now, fence, &self.settings)
    }

    /// Takes over from the previous home, without waiting for its grants to expire.
    pub fn take_over(&mut self, now: Instant, backend: &str, handover: Handover) {
        if let Some(allocator) = self.allocators.get_mut(backend) {
            allocator.take_over(now, handover, &self.settings);
        }
    }

    /// Notes that all revisions up to this one are accepted. No node acts on an older one for
    /// longer than the horizon from now.
    pub fn mark_accepted(&mut self, now: Instant, accepted: Revision) {
        self.allocators
            .values_mut()
            .filter(|allocator| allocator.fence <= accepted)
            .for_each(|allocator| allocator.mark_accepted(now));
    }

    /// Answers a holder's request. `fresh` tells whether this node's view is recent enough to grant
    /// slots.
    pub fn request(
        &mut self,
        now: Instant,
        owner: &Owner,
        backend: &str,
        request: &Request,
        fresh: bool,
    ) -> Grant {
        let no_slots = Grant {
            sequence: request.sequence,
            slots: 0,
            ttl: self.settings.ttl,
            fence: 0,
        };
        let Some(allocator) = self.allocators.get_mut(backend) else {
            return no_slots;
        };
        if allocator.is_stale(owner, request) {
            return no_slots;
        }
        let before = allocator.ramp.limit();
        let grant = allocator.answer(now, owner, request, fresh, &self.settings);
        if allocator.ramp.limit() < before {
            self.revoke(backend, Some(owner));
        }
        grant
    }

    /// Applies a server's own count of running requests, `age` old, which may show that no requests
    /// of unconfirmed owners are left. Ignored if it was taken before all earlier grants had ended.
    pub fn observe(&mut self, now: Instant, backend: &str, running: u32, age: Duration) {
        let Some(allocator) = self.allocators.get_mut(backend) else {
            return;
        };
        let ended = now
            .checked_sub(age)
            .is_some_and(|taken| allocator.is_ready(taken, &self.settings));
        if ended {
            allocator.observe(now, running, &self.settings);
        }
    }

    /// Starts the ramp of a server again, because the server turned out to be cold, and revokes all
    /// grants.
    pub fn reset_ramp(&mut self, backend: &str) {
        if let Some(allocator) = self.allocators.get_mut(backend) {
            allocator.reset_ramp();
            self.revoke(backend, None);
        }
    }

    /// Takes the grants queued since the last call. They revoke slots and are sent unrequested.
    pub fn revocations(&mut self) -> Vec<(Owner, BackendId, Grant)> {
        std::mem::take(&mut self.revocations)
    }

    /// Backend servers with a cold start whose requests in flight aren't fully known.
    pub fn unconfirmed(&self) -> impl Iterator<Item = &BackendId> {
        self.allocators
            .iter()
            .filter(|(_, allocator)| {
                allocator.has_cold_start() && allocator.unconfirmed_owners() > 0
            })
            .map(|(backend, _)| backend)
    }

    /// All backend servers of this home.
    pub fn backends(&self) -> impl Iterator<Item = &BackendId> {
        self.allocators.keys()
    }

    /// Number of requests that a backend server may run at once now.
    pub fn limit(&self, backend: &str) -> Option<u32> {
        self.allocators
            .get(backend)
            .map(|allocator| allocator.ramp.limit())
    }

    /// Number of slots that may be occupied at a backend server now.
    pub fn occupied(&self, now: Instant, backend: &str) -> Option<u32> {
        self.allocators
            .get(backend)
            .map(|allocator| allocator.occupied(now, &self.settings))
    }

    /// Revokes the grants of all holders of a backend server, except one.
    fn revoke(&mut self, backend: &str, except: Option<&Owner>) {
        let Some(allocator) = self.allocators.get(backend) else {
            return;
        };
        let grants = allocator.revocations(except, &self.settings);
        self.revocations.extend(
            grants
                .into_iter()
                .map(|(owner, grant)| (owner, backend.to_owned(), grant)),
        );
    }
}

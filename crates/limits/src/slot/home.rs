//! The node that grants a backend server's slots.

use super::{Grant, Handover, Request, Server, Settings, book::Book};
use contract::{BackendId, Map, Owner, Revision, Set};
use std::time::{Duration, Instant};

/// The backend servers whose home this node is.
///
/// A new home grants nothing until the home before has handed over, every earlier owner has
/// confirmed a grant of this home, or every grant of an earlier home has ended. In the last case
/// it also waits, at a server with a cold start, until the server itself has shown that nothing
/// unreported runs there, or the longest request has ended.
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
    books: Map<BackendId, Book>,
    revocations: Vec<(Owner, BackendId, Grant)>,
}

impl Home {
    /// Home of no backend server.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            books: Map::default(),
            revocations: Vec::new(),
        }
    }

    /// Makes this node the home of a backend server from a revision on, or brings the server's
    /// description up to date. `owners` may have work in flight there under an earlier home.
    pub fn assign<I>(&mut self, backend: &str, server: Server, revision: Revision, owners: I)
    where
        I: IntoIterator<Item = Owner>,
    {
        let Some(book) = self.books.get_mut(backend) else {
            let owners: Set<Owner> = owners.into_iter().collect();
            self.books
                .insert(backend.to_owned(), Book::new(server, revision, owners));
            return;
        };
        let closes = book.server.accepts_work && !server.accepts_work;
        book.ramp.cap(&server);
        book.server = server;
        if closes {
            self.revoke(backend, None);
        }
    }

    /// Owners that `assign` wasn't told of may hold grants of an earlier home.
    pub fn mark_owners_incomplete(&mut self, backend: &str) {
        if let Some(book) = self.books.get_mut(backend) {
            book.mark_owners_incomplete();
        }
    }

    /// This node is no longer the home. Becoming it again starts over.
    pub fn resign(&mut self, backend: &str) {
        self.books.remove(backend);
    }

    /// This node is no longer the home since a revision; gives what the next home must know.
    /// Right only where no other home was in between.
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
        let book = self.books.remove(backend)?;
        book.hand_over(now, fence, &self.settings)
    }

    /// Takes over from the home before, without waiting for its grants to end.
    pub fn take_over(&mut self, now: Instant, backend: &str, handover: Handover) {
        if let Some(book) = self.books.get_mut(backend) {
            book.take_over(now, handover, &self.settings);
        }
    }

    /// All revisions up to this one are accepted: no node acts on an older one after the horizon.
    pub fn mark_accepted(&mut self, now: Instant, accepted: Revision) {
        self.books
            .values_mut()
            .filter(|book| book.fence <= accepted)
            .for_each(|book| book.mark_accepted(now));
    }

    /// Answers a holder. `fresh` tells whether this node's view allows new work.
    pub fn request(
        &mut self,
        now: Instant,
        owner: &Owner,
        backend: &str,
        request: &Request,
        fresh: bool,
    ) -> Grant {
        let none = Grant {
            sequence: request.sequence,
            slots: 0,
            ttl: self.settings.ttl,
            fence: 0,
        };
        let Some(book) = self.books.get_mut(backend) else {
            return none;
        };
        if book.stale(owner, request) {
            return none;
        }
        let before = book.ramp.limit();
        let grant = book.answer(now, owner, request, fresh, &self.settings);
        if book.ramp.limit() < before {
            self.revoke(backend, Some(owner));
        }
        grant
    }

    /// Takes a server's own report of running requests, `age` old, to learn whether work of
    /// owners that haven't reported is still there.
    pub fn observe(&mut self, now: Instant, backend: &str, running: u32, age: Duration) {
        let Some(book) = self.books.get_mut(backend) else {
            return;
        };
        let ended = now
            .checked_sub(age)
            .is_some_and(|taken| book.ready(taken, &self.settings));
        if ended {
            book.observe(now, running, &self.settings);
        }
    }

    /// The server shows that it is cold: its ramp starts again.
    pub fn reset_ramp(&mut self, backend: &str) {
        if let Some(book) = self.books.get_mut(backend) {
            book.reset_ramp();
            self.revoke(backend, None);
        }
    }

    /// Grants to send unasked since the last call: they withdraw slots.
    pub fn revocations(&mut self) -> Vec<(Owner, BackendId, Grant)> {
        std::mem::take(&mut self.revocations)
    }

    /// Backend servers with a cold start whose work in flight isn't fully known.
    pub fn unconfirmed(&self) -> impl Iterator<Item = &BackendId> {
        self.books
            .iter()
            .filter(|(_, book)| book.warms() && book.unconfirmed() > 0)
            .map(|(backend, _)| backend)
    }

    /// Backend servers of this home.
    pub fn backends(&self) -> impl Iterator<Item = &BackendId> {
        self.books.keys()
    }

    /// Requests that a backend server may carry at once now.
    pub fn limit(&self, backend: &str) -> Option<u32> {
        self.books.get(backend).map(|book| book.ramp.limit())
    }

    /// Slots that may be occupied at a backend server now.
    pub fn occupied(&self, now: Instant, backend: &str) -> Option<u32> {
        self.books
            .get(backend)
            .map(|book| book.occupied(now, &self.settings))
    }

    fn revoke(&mut self, backend: &str, except: Option<&Owner>) {
        let Some(book) = self.books.get(backend) else {
            return;
        };
        let found = book.revocations(except, &self.settings);
        self.revocations.extend(
            found
                .into_iter()
                .map(|(owner, grant)| (owner, backend.to_owned(), grant)),
        );
    }
}

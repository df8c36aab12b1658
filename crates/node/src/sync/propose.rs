//! Changes of the configuration.

use super::{Accepted, Conflict, Error, Replica, rows};
use clients::Table;
use contract::{ChangeId, Object, Revision, Set};
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::timeout;
use wire::{Delta, Entry};

/// Most objects in one change; the table takes 100 writes in a transaction.
pub(super) const MAX_ENTRIES: usize = 90;
/// Tries before a change gives up against others that come first.
const MAX_ATTEMPTS: u32 = 20;
/// Wait before the next try, grown with each.
const BACKOFF: Duration = Duration::from_millis(10);

/// How one try to write ended.
enum Attempt {
    Written,
    Again,
    /// The answer was lost: the same write has to be settled before anything else.
    Lost(clients::Error),
}

impl<T: Table> Replica<T> {
    /// Changes the configuration: puts or removes each entry, all or none.
    ///
    /// With a `base`, an object changed after that revision is a conflict; a change of other
    /// objects is no obstacle. A repeated call with the same change id is the same change.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// # let hub = node::link::Hub::new(Default::default());
    /// # let table = clients::table::Memory::default();
    /// # let replica = node::sync::Replica::new(Default::default(), table, hub, None);
    /// let entry = wire::Entry {
    ///     key: "zone/a".into(),
    ///     body: Some(r#"{"zone":{"name":"a","out":true}}"#.into()),
    /// };
    /// let accepted = replica.propose("c1".into(), None, vec![entry]).await?;
    /// assert_eq!(accepted.revision, 1);
    /// assert!(replica.config().zone_out("a"));
    /// # Ok::<(), node::sync::Error>(()) }).unwrap();
    /// ```
    pub async fn propose(
        &self,
        change: ChangeId,
        base: Option<Revision>,
        entries: Vec<Entry>,
    ) -> Result<Accepted, Error> {
        check(&entries)?;
        let mut lost = None;
        for attempt in 0..MAX_ATTEMPTS {
            tokio::time::sleep(BACKOFF * attempt).await;
            match self.attempt(&change, base, &entries).await {
                Ok((revision, Attempt::Written)) => return self.accepted(revision, false).await,
                Ok((_, Attempt::Again)) => {}
                Ok((_, Attempt::Lost(error))) => lost = Some(error),
                Err(Found::Replayed(revision)) => return self.accepted(revision, true).await,
                Err(Found::Failed(error)) => return Err(settle(change, lost, error)),
            }
        }
        Err(settle(change, lost, Error::Contended))
    }

    /// Where the change of an id stands; none when it isn't in the log.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// # let hub = node::link::Hub::new(Default::default());
    /// # let table = clients::table::Memory::default();
    /// # let replica = node::sync::Replica::new(Default::default(), table, hub, None);
    /// assert!(replica.outcome("c1").await.unwrap().is_none());
    /// # });
    /// ```
    pub async fn outcome(&self, change: &str) -> Result<Option<Accepted>, Error> {
        let Some(revision) = self.log.change(change).await? else {
            return Ok(None);
        };
        self.catch_up().await?;
        self.accepted(revision, true).await.map(Some)
    }

    async fn attempt(
        &self,
        change: &str,
        base: Option<Revision>,
        entries: &[Entry],
    ) -> Result<(Revision, Attempt), Found> {
        let head = self.catch_up().await?;
        let written = self.log.change(change).await;
        if let Some(revision) = self.count_read(written)? {
            return Err(self.replayed(change, revision, entries).await);
        }
        self.check_base(base, head, entries).await?;
        let Some(delta) = self.next(change, head, entries) else {
            self.wait_accepted(head).await;
            self.may_propose(entries).map_err(pending)?;
            return Ok((head, Attempt::Again));
        };
        Ok((delta.revision, self.write(&delta).await?))
    }

    /// The revision that would carry the change, unless the applied one has to be accepted first.
    fn next(&self, change: &str, head: Revision, entries: &[Entry]) -> Option<Delta> {
        let view = self.view();
        if view.revision() != head || view.may_propose(entries).is_err() {
            return None;
        }
        Some(Delta {
            change: change.to_owned(),
            entries: entries.to_vec(),
            replaced: view.replaced_members(entries),
            revision: head + 1,
        })
    }

    async fn write(&self, delta: &Delta) -> Result<Attempt, Error> {
        let writes = rows::writes(delta);
        self.writes.fetch_add(1, Ordering::Relaxed);
        match self.log.table.transact(&writes, &rows::token(delta)).await {
            Ok(()) => {
                self.publish(delta)?;
                Ok(Attempt::Written)
            }
            Err(clients::Error::Conflict { .. } | clients::Error::Throttled) => Ok(Attempt::Again),
            Err(error) if error.may_have_run() => Ok(Attempt::Lost(error)),
            Err(error) => Err(Error::Platform(error)),
        }
    }

    async fn replayed(&self, change: &str, revision: Revision, entries: &[Entry]) -> Found {
        match self.log.revision(revision).await {
            Ok(delta) if delta.entries == entries => Found::Replayed(revision),
            Ok(_) => Found::Failed(Error::ChangeIdReused {
                change: change.to_owned(),
                revision,
            }),
            Err(error) => Found::Failed(error),
        }
    }

    async fn check_base(
        &self,
        base: Option<Revision>,
        head: Revision,
        entries: &[Entry],
    ) -> Result<(), Error> {
        let Some(mut base) = base else { return Ok(()) };
        if base > head {
            return Err(Error::UnknownBase { base, head });
        }
        while base < head {
            let deltas = self.log.after(base).await?;
            let Some(last) = deltas.last() else { break };
            base = last.revision;
            let conflict = deltas.iter().rev().find_map(|delta| clash(delta, entries));
            conflict.map_or(Ok(()), Err)?;
        }
        Ok(())
    }

    /// Waits until a majority of members has applied the revision.
    async fn accepted(&self, revision: Revision, replayed: bool) -> Result<Accepted, Error> {
        self.wait_accepted(revision).await;
        let state = self.progress(revision);
        if !state.accepted {
            return Err(Error::Unacknowledged { revision });
        }
        Ok(Accepted {
            revision,
            replayed,
            outstanding: state.outstanding,
        })
    }

    async fn wait_accepted(&self, revision: Revision) {
        let mut accepted = self.watch_accepted();
        let reached = accepted.wait_for(|accepted| *accepted >= revision);
        let _ = timeout(self.settings.accept_timeout, reached).await;
    }
}

fn pending(pending: view::Pending) -> Error {
    Error::Pending {
        revision: pending.revision,
    }
}

/// Why a try ended without a write.
enum Found {
    Replayed(Revision),
    Failed(Error),
}

impl From<Error> for Found {
    fn from(error: Error) -> Self {
        Self::Failed(error)
    }
}

/// After a lost answer, only a refusal that proves the change absent may say "not written".
fn settle(change: ChangeId, lost: Option<clients::Error>, error: Error) -> Error {
    match (lost, error) {
        (None, error) => error,
        (Some(_), error @ (Error::Conflict(_) | Error::ChangeIdReused { .. })) => error,
        (Some(_), Error::Platform(source)) => Error::UnknownOutcome { change, source },
        (Some(source), _) => Error::UnknownOutcome { change, source },
    }
}

fn check(entries: &[Entry]) -> Result<(), Error> {
    let keys: Set<&str> = entries.iter().map(|entry| entry.key.as_str()).collect();
    if entries.is_empty() || entries.len() > MAX_ENTRIES || keys.len() < entries.len() {
        return Err(Error::Size { limit: MAX_ENTRIES });
    }
    for entry in entries {
        if let Some(body) = &entry.body {
            Object::read(&entry.key, body)?;
        }
    }
    Ok(())
}

fn clash(delta: &Delta, entries: &[Entry]) -> Option<Error> {
    entries.iter().find_map(|ours| {
        let theirs = delta.entries.iter().find(|entry| entry.key == ours.key)?;
        Some(Error::Conflict(Box::new(Conflict {
            key: ours.key.clone(),
            revision: delta.revision,
            change: delta.change.clone(),
            ours: ours.clone(),
            theirs: theirs.clone(),
        })))
    })
}

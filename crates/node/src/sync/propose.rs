//! Proposes changes of the configuration.

use super::{Accepted, Conflict, Error, Replica, rows};
use clients::Table;
use contract::{ChangeId, Object, Revision, Set};
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::timeout;
use wire::{Delta, Entry};

/// Maximum number of objects in one change. The table allows 100 writes in a transaction, and three
/// of them go to the head, the revision and the change id.
pub(super) const MAX_ENTRIES: usize = 90;
/// Attempts before a change fails because concurrent changes were written first.
const MAX_ATTEMPTS: u32 = 20;
/// Delay before the first retry; it grows linearly with each.
const BACKOFF: Duration = Duration::from_millis(10);

/// Result of one attempt to write.
enum Attempt {
    Written,
    Retry,
    /// The response was lost. The next attempt must find out whether the write ran.
    Lost(clients::Error),
}

impl<T: Table> Replica<T> {
    /// Changes the configuration: puts or removes all entries atomically, and waits until a
    /// majority of members has applied the change.
    ///
    /// With a `base`, the change conflicts if a later revision modifies one of the same objects;
    /// changes of other objects don't matter. Calls are idempotent by change id.
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
    /// assert!(replica.config().is_zone_out("a"));
    /// # Ok::<(), node::sync::Error>(()) }).unwrap();
    /// ```
    pub async fn propose(
        &self,
        change: ChangeId,
        base: Option<Revision>,
        entries: Vec<Entry>,
    ) -> Result<Accepted, Error> {
        validate(&entries)?;
        let mut lost = None;
        for attempt in 0..MAX_ATTEMPTS {
            tokio::time::sleep(BACKOFF * attempt).await;
            match self.attempt(&change, base, &entries).await {
                Ok((revision, Attempt::Written)) => {
                    return self.wait_for_acceptance(revision, false).await;
                }
                Ok((_, Attempt::Retry)) => {}
                Ok((_, Attempt::Lost(error))) => lost = Some(error),
                Err(Unwritten::Replayed(revision)) => {
                    return self.wait_for_acceptance(revision, true).await;
                }
                Err(Unwritten::Failed(error)) => return Err(resolve_error(change, lost, error)),
            }
        }
        Err(resolve_error(change, lost, Error::Contended))
    }

    /// Returns the change with an id once it is accepted, or `None` if it is not in the log.
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
        let Some(revision) = self.log.revision_of_change(change).await? else {
            return Ok(None);
        };
        self.catch_up().await?;
        self.wait_for_acceptance(revision, true).await.map(Some)
    }

    async fn attempt(
        &self,
        change: &str,
        base: Option<Revision>,
        entries: &[Entry],
    ) -> Result<(Revision, Attempt), Unwritten> {
        let head = self.catch_up().await?;
        let known = self.log.revision_of_change(change).await;
        if let Some(revision) = self.count_read(known)? {
            return Err(self.check_replay(change, revision, entries).await);
        }
        self.check_base(base, head, entries).await?;
        let Some(delta) = self.next_delta(change, head, entries) else {
            self.wait_until_accepted(head).await;
            self.may_propose(entries).map_err(pending)?;
            return Ok((head, Attempt::Retry));
        };
        Ok((delta.revision, self.write_delta(&delta).await?))
    }

    /// Builds the revision that carries the change. Returns `None` if the applied revision is not
    /// `head` or must be accepted first.
    fn next_delta(&self, change: &str, head: Revision, entries: &[Entry]) -> Option<Delta> {
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

    async fn write_delta(&self, delta: &Delta) -> Result<Attempt, Error> {
        let writes = rows::transaction(delta);
        self.writes.fetch_add(1, Ordering::Relaxed);
        match self.log.table.transact(&writes, &rows::token(delta)).await {
            Ok(()) => {
                self.publish(delta)?;
                Ok(Attempt::Written)
            }
            Err(clients::Error::Conflict { .. } | clients::Error::Throttled) => Ok(Attempt::Retry),
            Err(error) if error.may_have_executed() => Ok(Attempt::Lost(error)),
            Err(error) => Err(Error::Platform(error)),
        }
    }

    async fn check_replay(&self, change: &str, revision: Revision, entries: &[Entry]) -> Unwritten {
        match self.log.revision(revision).await {
            Ok(delta) if delta.entries == entries => Unwritten::Replayed(revision),
            Ok(_) => Unwritten::Failed(Error::ChangeIdReused {
                change: change.to_owned(),
                revision,
            }),
            Err(error) => Unwritten::Failed(error),
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
            let deltas = self.log.revisions_after(base).await?;
            let Some(last) = deltas.last() else { break };
            base = last.revision;
            let conflict = deltas
                .iter()
                .rev()
                .find_map(|delta| find_conflict(delta, entries));
            conflict.map_or(Ok(()), Err)?;
        }
        Ok(())
    }

    /// Waits until a majority of members has applied the revision, and fails after a timeout.
    async fn wait_for_acceptance(
        &self,
        revision: Revision,
        replayed: bool,
    ) -> Result<Accepted, Error> {
        self.wait_until_accepted(revision).await;
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

    async fn wait_until_accepted(&self, revision: Revision) {
        let mut accepted = self.subscribe_accepted();
        let reached = accepted.wait_for(|accepted| *accepted >= revision);
        let _ = timeout(self.settings.accept_timeout, reached).await;
    }
}

fn pending(error: view::Pending) -> Error {
    Error::Pending {
        revision: error.revision,
    }
}

/// Why an attempt ended without a write.
enum Unwritten {
    Replayed(Revision),
    Failed(Error),
}

impl From<Error> for Unwritten {
    fn from(error: Error) -> Self {
        Self::Failed(error)
    }
}

/// Chooses the error to return. After a lost response, only an error that proves that the change is
/// not in the log may claim that it was not written.
fn resolve_error(change: ChangeId, lost: Option<clients::Error>, error: Error) -> Error {
    match (lost, error) {
        (None, error) => error,
        (Some(_), error @ (Error::Conflict(_) | Error::ChangeIdReused { .. })) => error,
        (Some(_), Error::Platform(source)) => Error::UnknownOutcome { change, source },
        (Some(source), _) => Error::UnknownOutcome { change, source },
    }
}

fn validate(entries: &[Entry]) -> Result<(), Error> {
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

fn find_conflict(delta: &Delta, entries: &[Entry]) -> Option<Error> {
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

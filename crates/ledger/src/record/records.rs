//! Claims of calls, their outcomes and the answers to repeated calls.

use super::registry::{Entry, Location, Registry};
use super::{Answer, Claim, Key, Outcome, Permit, Row, Settings, State};
use crate::Error;
use clients::Table;
use clients::table::{Condition, Item};
use contract::Owner;

/// Run records of one node, stored in a table.
///
/// ```
/// use contract::Owner;
/// use ledger::record::{Answer, Claim, Key, Records, Settings, Outcome};
/// use clients::table::Memory;
/// # #[tokio::main(flavor = "current_thread")] async fn main() -> Result<(), ledger::Error> {
/// let table = Memory::default();
/// let n1 = Records::new(table.clone(), Owner::new("n1", 1), Settings::default());
/// let n2 = Records::new(table, Owner::new("n2", 1), Settings::default());
/// let key = Key::new("harbour-hall", "tanker-7", "POST", "/bookings", b"{}")?;
/// let Claim::Run(mut permit) = n1.claim(&key, |_| true).await? else { panic!() };
/// assert!(matches!(n2.claim(&key, |_| true).await?, Claim::Answer(Answer::InProgress(_))));
/// permit.mark_dispatched();
/// let outcome = Outcome::new(201, Vec::new(), b"booked", &Settings::default());
/// n1.finish(permit, outcome).await?;
/// assert!(matches!(n2.claim(&key, |_| true).await?, Claim::Answer(Answer::Finished(_))));
/// # Ok(()) }
/// ```
#[derive(Debug)]
pub struct Records<T> {
    table: T,
    registry: Registry,
    settings: Settings,
}

impl<T: Table> Records<T> {
    /// Creates the records of one incarnation of a node.
    pub fn new(table: T, owner: Owner, settings: Settings) -> Self {
        Self {
            table,
            registry: Registry::new(owner, settings.orphan_sweeps),
            settings,
        }
    }

    /// Claims a call. `may_be_running` tells whether an owner may still be working on a call.
    ///
    /// An error means that nothing has been sent and that this claim will never lead to a run.
    pub async fn claim<F>(&self, key: &Key, may_be_running: F) -> Result<Claim, Error>
    where
        F: Fn(&Owner) -> bool,
    {
        let location = key.location();
        let sequence = match self.registry.start(&location, key.digest()) {
            Ok(sequence) => sequence,
            Err(entry) => return self.own_answer(entry, key).map(Claim::Answer),
        };
        // From here on, the permit releases the key if this future is dropped.
        let permit = Permit::new(&self.registry, location, key.digest(), sequence);
        let row = self.registry.row(sequence, key.digest(), State::Claimed);
        match self.insert(key, &row).await? {
            None => Ok(Claim::Run(permit)),
            Some(found) if self.is_own_orphan(&found) => {
                self.take_over(key, permit, &row, &found).await
            }
            Some(found) => {
                permit.discard();
                answer_for_row(key, found, may_be_running).map(Claim::Answer)
            }
        }
    }

    /// Ends a call with its outcome. On an error, the outcome is kept in memory and written by
    /// [`Self::sweep`].
    pub async fn finish(&self, permit: Permit, outcome: Outcome) -> Result<(), Error> {
        let (location, row) = permit.finish(outcome);
        self.write(&location, &row).await
    }

    /// Retries failed writes of outcomes, and removes claims under which nothing was sent. Returns the
    /// number of claims that remain to be written or removed.
    pub async fn sweep(&self) -> usize {
        for (location, entry) in self.registry.unresolved() {
            let swept = match entry {
                Entry::Active { .. } => Ok(()),
                Entry::Ended(row) => self.write(&location, &row).await,
                Entry::Orphan { sequence, .. } => self.remove(&location, sequence).await,
            };
            // The platform is unreachable: the rest is left to the next sweep.
            if swept.is_err() {
                break;
            }
        }
        self.registry.unresolved().len()
    }

    /// Inserts the row of a claim. Returns `None` if it was inserted, otherwise the existing row.
    async fn insert(&self, key: &Key, row: &Row) -> Result<Option<Row>, Error> {
        let location = key.location();
        let mut attempt = 1;
        loop {
            let error = match self.put(&location, row, Condition::Absent).await {
                Ok(()) => return Ok(None),
                Err(Error::Platform(error)) => error,
                Err(error) => return Err(error),
            };
            let conflict = matches!(error, clients::Error::Conflict { .. });
            if !conflict && !error.may_have_executed() {
                return Err(error.into());
            }
            // Whether the write took effect is determined by reading the row back.
            match self.read(&location).await? {
                Some(found) if found == *row => return Ok(None),
                Some(found) => return Ok(Some(found)),
                None if attempt >= self.settings.claim_attempts => return Err(error.into()),
                None => attempt += 1,
            }
        }
    }

    /// Whether a row is an earlier claim of this node under which nothing was sent. Claims of calls that
    /// were sent remain in the registry until their outcome is in the table.
    fn is_own_orphan(&self, row: &Row) -> bool {
        row.owner == self.registry.owner && row.state == State::Claimed
    }

    /// Replaces an orphan with a new claim. Their revisions differ, so a sweep of the orphan can't
    /// remove the new claim.
    async fn take_over(
        &self,
        key: &Key,
        permit: Permit,
        row: &Row,
        orphan: &Row,
    ) -> Result<Claim, Error> {
        if orphan.request != row.request {
            return Err(Error::Conflict);
        }
        let location = key.location();
        let condition = Condition::Rev(orphan.claim_revision());
        let error = match self.put(&location, row, condition).await {
            Ok(()) => return Ok(Claim::Run(permit)),
            Err(error) => error,
        };
        match self.read(&location).await? {
            Some(found) if found == *row => Ok(Claim::Run(permit)),
            _ => Err(error),
        }
    }

    /// Answer to a repeated call that this node has claimed itself.
    fn own_answer(&self, entry: Entry, key: &Key) -> Result<Answer, Error> {
        let row = match entry {
            Entry::Active { request } if request != key.digest() => return Err(Error::Conflict),
            Entry::Ended(row) if row.request != key.digest() => return Err(Error::Conflict),
            Entry::Ended(row) => row,
            _ => return Ok(Answer::InProgress(self.registry.owner.clone())),
        };
        Ok(match row.state {
            State::Finished(outcome) => Answer::Finished(outcome),
            _ => Answer::Unknown,
        })
    }

    /// Replaces the claim of an ended call with its final row.
    async fn write(&self, location: &Location, row: &Row) -> Result<(), Error> {
        let condition = Condition::Rev(row.claim_revision());
        match self.put(location, row, condition).await {
            // A conflict means that an earlier write of this row succeeded and its answer was lost.
            Ok(()) | Err(Error::Platform(clients::Error::Conflict { .. })) => {}
            Err(error) => return Err(error),
        }
        self.registry.resolve(location, row.sequence);
        Ok(())
    }

    /// Removes a claim under which nothing was sent.
    async fn remove(&self, location: &Location, sequence: u64) -> Result<(), Error> {
        let Some(row) = self.read(location).await? else {
            self.registry.record_miss(location);
            return Ok(());
        };
        // The row may belong to a later claim of this node by now, which must not be removed.
        if self.is_own_orphan(&row) && row.sequence <= sequence {
            let condition = Condition::Rev(row.claim_revision());
            self.table
                .delete(&location.0, &location.1, condition)
                .await?;
        }
        self.registry.resolve(location, sequence);
        Ok(())
    }

    async fn put(&self, location: &Location, row: &Row, condition: Condition) -> Result<(), Error> {
        let body = serde_json::to_string(row)?;
        let item = Item::new(&location.0, &location.1, row.revision(), body);
        Ok(self.table.put(item, condition).await?)
    }

    async fn read(&self, location: &Location) -> Result<Option<Row>, Error> {
        let Some(item) = self.table.get(&location.0, &location.1).await? else {
            return Ok(None);
        };
        Ok(Some(serde_json::from_str(&item.body)?))
    }
}

/// Answer to a repeated call whose row belongs to another claim.
fn answer_for_row<F>(key: &Key, row: Row, may_be_running: F) -> Result<Answer, Error>
where
    F: Fn(&Owner) -> bool,
{
    if row.request != key.digest() {
        return Err(Error::Conflict);
    }
    Ok(match row.state {
        State::Finished(outcome) => Answer::Finished(outcome),
        State::Unknown => Answer::Unknown,
        State::Claimed if !may_be_running(&row.owner) => Answer::Unknown,
        State::Claimed => Answer::InProgress(row.owner),
    })
}

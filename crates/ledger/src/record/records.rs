//! Claims, outcomes and what second senders are told.

use super::local::{Entry, Local, Place};
use super::{Answer, Claim, Key, Outcome, Permit, Row, Settings, State};
use crate::Error;
use clients::Table;
use clients::table::{Condition, Item};
use contract::Owner;

/// Run records of one node over a table.
///
/// ```
/// use contract::Owner;
/// use ledger::record::{Answer, Claim, Key, Records, Settings, Outcome};
/// use clients::table::Memory;
/// # #[tokio::main(flavor = "current_thread")] async fn main() -> Result<(), ledger::Error> {
/// let table = Memory::default();
/// let n1 = Records::new(table.clone(), Owner::new("n1", 1), Settings::default());
/// let n2 = Records::new(table, Owner::new("n2", 1), Settings::default());
/// let key = Key::new("huaman", "tanker-7", "POST", "/bookings", b"{}")?;
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
    local: Local,
    settings: Settings,
}

impl<T: Table> Records<T> {
    /// Records of one start of a node.
    pub fn new(table: T, owner: Owner, settings: Settings) -> Self {
        Self {
            table,
            local: Local::new(owner, settings.orphan_sweeps),
            settings,
        }
    }

    /// Claims a call. `alive` tells whether an owner may still be at work.
    ///
    /// An error means that nothing has been sent and this claim never leads to a run.
    pub async fn claim<F>(&self, key: &Key, alive: F) -> Result<Claim, Error>
    where
        F: Fn(&Owner) -> bool,
    {
        let place = key.place();
        let sequence = match self.local.start(&place, key.digest()) {
            Ok(sequence) => sequence,
            Err(entry) => return self.own(entry, key).map(Claim::Answer),
        };
        // From here on the permit gives the key back if this future is dropped.
        let permit = Permit::new(&self.local, place, key.digest(), sequence);
        let row = self.local.row(sequence, key.digest(), State::Claimed);
        match self.insert(key, &row).await? {
            None => Ok(Claim::Run(permit)),
            Some(found) if self.orphan(&found) => self.adopt(key, permit, &row, &found).await,
            Some(found) => {
                permit.yield_to_other();
                judge(key, found, alive).map(Claim::Answer)
            }
        }
    }

    /// Ends a call with its outcome. On an error the outcome is kept here, and `sweep` writes it.
    pub async fn finish(&self, permit: Permit, outcome: Outcome) -> Result<(), Error> {
        let (place, row) = permit.finish(outcome);
        self.write(&place, &row).await
    }

    /// Writes outcomes that couldn't be written, and removes claims under which nothing was sent.
    /// Gives the number of claims that still need work.
    pub async fn sweep(&self) -> usize {
        for (place, entry) in self.local.unsettled() {
            let swept = match entry {
                Entry::Live { .. } => Ok(()),
                Entry::Ended(row) => self.write(&place, &row).await,
                Entry::Orphan { sequence, .. } => self.remove(&place, sequence).await,
            };
            // The platform is out of reach: the rest can wait for the next sweep.
            if swept.is_err() {
                break;
            }
        }
        self.local.unsettled().len()
    }

    /// Inserts the claim. `None` when it is this node's, else the row that stands there.
    async fn insert(&self, key: &Key, row: &Row) -> Result<Option<Row>, Error> {
        let place = key.place();
        let mut attempt = 1;
        loop {
            let error = match self.put(&place, row, Condition::Absent).await {
                Ok(()) => return Ok(None),
                Err(Error::Platform(error)) => error,
                Err(error) => return Err(error),
            };
            let conflict = matches!(error, clients::Error::Conflict { .. });
            if !conflict && !error.may_have_executed() {
                return Err(error.into());
            }
            // A lost answer is settled by reading the row back.
            match self.read(&place).await? {
                Some(found) if found == *row => return Ok(None),
                Some(found) => return Ok(Some(found)),
                None if attempt >= self.settings.claim_attempts => return Err(error.into()),
                None => attempt += 1,
            }
        }
    }

    /// Whether a row is an earlier claim of this node's under which nothing was sent: claims that
    /// were sent are kept here until their outcome is in the table.
    fn orphan(&self, row: &Row) -> bool {
        row.owner == self.local.owner && row.state == State::Claimed
    }

    /// Replaces an orphan by a new claim, so that a sweep can't remove it.
    async fn adopt(
        &self,
        key: &Key,
        permit: Permit,
        row: &Row,
        orphan: &Row,
    ) -> Result<Claim, Error> {
        if orphan.request != row.request {
            return Err(Error::Conflict);
        }
        let place = key.place();
        let condition = Condition::Rev(orphan.claim_revision());
        let error = match self.put(&place, row, condition).await {
            Ok(()) => return Ok(Claim::Run(permit)),
            Err(error) => error,
        };
        match self.read(&place).await? {
            Some(found) if found == *row => Ok(Claim::Run(permit)),
            _ => Err(error),
        }
    }

    /// What this node knows of its own claim.
    fn own(&self, entry: Entry, key: &Key) -> Result<Answer, Error> {
        let row = match entry {
            Entry::Live { request } if request != key.digest() => return Err(Error::Conflict),
            Entry::Ended(row) if row.request != key.digest() => return Err(Error::Conflict),
            Entry::Ended(row) => row,
            _ => return Ok(Answer::InProgress(self.local.owner.clone())),
        };
        Ok(match row.state {
            State::Finished(outcome) => Answer::Finished(outcome),
            _ => Answer::Unknown,
        })
    }

    /// Writes the row of an ended call over its claim.
    async fn write(&self, place: &Place, row: &Row) -> Result<(), Error> {
        let condition = Condition::Rev(row.claim_revision());
        match self.put(place, row, condition).await {
            // A conflict is an earlier write of this row whose answer was lost.
            Ok(()) | Err(Error::Platform(clients::Error::Conflict { .. })) => {}
            Err(error) => return Err(error),
        }
        self.local.settle(place, row.sequence);
        Ok(())
    }

    /// Removes a claim under which nothing was sent.
    async fn remove(&self, place: &Place, sequence: u64) -> Result<(), Error> {
        let Some(row) = self.read(place).await? else {
            self.local.missed(place);
            return Ok(());
        };
        // A later claim of this node may stand there by now: it is left alone.
        if self.orphan(&row) && row.sequence <= sequence {
            let condition = Condition::Rev(row.claim_revision());
            self.table.delete(&place.0, &place.1, condition).await?;
        }
        self.local.settle(place, sequence);
        Ok(())
    }

    async fn put(&self, place: &Place, row: &Row, condition: Condition) -> Result<(), Error> {
        let body = serde_json::to_string(row)?;
        let item = Item::new(&place.0, &place.1, row.revision(), body);
        Ok(self.table.put(item, condition).await?)
    }

    async fn read(&self, place: &Place) -> Result<Option<Row>, Error> {
        let Some(item) = self.table.get(&place.0, &place.1).await? else {
            return Ok(None);
        };
        Ok(Some(serde_json::from_str(&item.body)?))
    }
}

/// What the row of another claim means for this sender.
fn judge<F>(key: &Key, row: Row, alive: F) -> Result<Answer, Error>
where
    F: Fn(&Owner) -> bool,
{
    if row.request != key.digest() {
        return Err(Error::Conflict);
    }
    Ok(match row.state {
        State::Finished(outcome) => Answer::Finished(outcome),
        State::Unknown => Answer::Unknown,
        State::Claimed if !alive(&row.owner) => Answer::Unknown,
        State::Claimed => Answer::InProgress(row.owner),
    })
}

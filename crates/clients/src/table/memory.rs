//! In-memory table with fault injection, for tests of code that uses [`Table`].

use super::{Condition, Item, Range, Table, Write};
use crate::{Cause, Error};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A fault injected into a future call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// No fault: the call is executed.
    None,
    /// The call is executed and its response is lost.
    ResponseLost,
    /// The request is lost, so the call isn't executed. The caller gets the same error as for
    /// [`Fault::ResponseLost`].
    RequestLost,
    /// The call is throttled and not executed.
    Throttled,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<(String, String), Item>,
    tokens: Vec<String>,
    faults: VecDeque<Fault>,
    down: bool,
}

/// An in-memory table. Clones share their rows. Injected faults apply to the next calls in order.
///
/// ```
/// use clients::table::{Fault, Memory};
/// let table = Memory::default();
/// table.inject_fault(Fault::ResponseLost);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Memory {
    state: Arc<Mutex<State>>,
}

impl Memory {
    /// Queues a fault: each call takes the oldest one.
    ///
    /// ```
    /// let table = clients::table::Memory::default();
    /// table.inject_fault(clients::table::Fault::Throttled);
    /// ```
    pub fn inject_fault(&self, fault: Fault) {
        self.lock().faults.push_back(fault);
    }

    /// Starts or ends an outage, during which all calls are lost without being executed.
    ///
    /// ```
    /// clients::table::Memory::default().set_down(true);
    /// ```
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn call<R>(&self, run: impl FnOnce(&mut State) -> Result<R, Error>) -> Result<R, Error> {
        let mut state = self.lock();
        if state.down {
            return Err(Error::Unknown(Cause::Dropped));
        }
        match state.faults.pop_front().unwrap_or(Fault::None) {
            Fault::None => run(&mut state),
            Fault::Throttled => Err(Error::Throttled),
            Fault::RequestLost => Err(Error::Unknown(Cause::Dropped)),
            Fault::ResponseLost => {
                let _ = run(&mut state);
                Err(Error::Unknown(Cause::Dropped))
            }
        }
    }
}

impl State {
    fn rev(&self, key: (&str, &str)) -> Option<u64> {
        let key = (key.0.to_owned(), key.1.to_owned());
        self.rows.get(&key).map(|item| item.rev)
    }

    fn execute(&mut self, writes: &[Write]) -> Result<(), Error> {
        let failed: Vec<usize> = writes
            .iter()
            .enumerate()
            .filter(|(_, write)| !write.condition().holds(self.rev(write.key())))
            .map(|(index, _)| index)
            .collect();
        if !failed.is_empty() {
            return Err(Error::Conflict { failed });
        }
        for write in writes {
            let key = (write.key().0.to_owned(), write.key().1.to_owned());
            match write {
                Write::Put { item, .. } => self.rows.insert(key, item.clone()),
                Write::Delete { .. } => self.rows.remove(&key),
            };
        }
        Ok(())
    }
}

impl Table for Memory {
    async fn get(&self, partition: &str, sort: &str) -> Result<Option<Item>, Error> {
        let key = (partition.to_owned(), sort.to_owned());
        self.call(|state| Ok(state.rows.get(&key).cloned()))
    }

    async fn put(&self, item: Item, condition: Condition) -> Result<(), Error> {
        self.call(|state| state.execute(&[Write::Put { item, condition }]))
    }

    async fn delete(&self, partition: &str, sort: &str, condition: Condition) -> Result<(), Error> {
        let write = Write::Delete {
            partition: partition.to_owned(),
            sort: sort.to_owned(),
            condition,
        };
        self.call(|state| state.execute(&[write]))
    }

    async fn list(&self, partition: &str, range: &Range, limit: usize) -> Result<Vec<Item>, Error> {
        self.call(|state| {
            let rows = state.rows.values();
            let matching =
                rows.filter(|item| item.partition == partition && range.contains(&item.sort));
            Ok(matching.take(limit).cloned().collect())
        })
    }

    async fn transact(&self, writes: &[Write], token: &str) -> Result<(), Error> {
        self.call(|state| {
            if state.tokens.iter().any(|used| used == token) {
                return Ok(());
            }
            state.execute(writes)?;
            state.tokens.push(token.to_owned());
            Ok(())
        })
    }
}

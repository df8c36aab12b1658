//! Shares of customers' budgets, taken from the platform's table service.

use clients::Table;
use clients::table::{Condition, Item};
use contract::{Budget, CustomerId, Map, Micros};
use limits::Refusal;
use limits::spend::{Account, Allocation, Reservation, Settings, State};
use policy::plan;
use serde::{Deserialize, Serialize};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Conditional writes that are tried for one share.
const MAX_TRIES: usize = 8;

/// Grants that a row names, so that a node finds its own after others' writes.
const MAX_GRANTS: usize = 16;

/// The row of a budget: what is granted, and the last grants by name.
#[derive(Debug, Default, Deserialize, Serialize)]
struct Row {
    account: Account,
    grants: Vec<String>,
}

/// A grant whose write may or may not have taken effect.
#[derive(Debug)]
struct Pending {
    name: String,
    period: u64,
    granted: Micros,
    share: Micros,
}

/// This node's shares of budgets.
#[derive(Debug)]
pub struct Budgets<T> {
    settings: Settings,
    table: T,
    /// Name of this incarnation of the node.
    name: String,
    allocations: Mutex<Allocations>,
}

#[derive(Debug, Default)]
struct Allocations {
    by_customer: Map<CustomerId, Allocation>,
    /// Dearest request of each customer in micro-units of money.
    dearest: Map<CustomerId, Micros>,
    pending: Map<CustomerId, Pending>,
    grants: u64,
}

impl<T: Table> Budgets<T> {
    /// Shares of a node, named by node and incarnation.
    ///
    /// ```
    /// use node::schedule::Budgets;
    /// use clients::table::Memory;
    /// let budgets = Budgets::new(Default::default(), Memory::default(), "n1-1".into());
    /// assert_eq!(budgets.remaining("c"), 0);
    /// ```
    pub fn new(settings: Settings, table: T, name: String) -> Self {
        Self {
            settings,
            table,
            name,
            allocations: Mutex::default(),
        }
    }

    /// What is left of a customer's share at this node, in micro-units of money.
    pub fn remaining(&self, customer: &str) -> Micros {
        let allocations = self.lock();
        allocations
            .by_customer
            .get(customer)
            .map_or(0, Allocation::remaining)
    }

    /// How a plan should treat the customer's budget.
    pub fn state(&self, customer: &str, budget: Option<&Budget>) -> plan::Budget {
        let Some(budget) = budget else {
            return plan::Budget::Ample;
        };
        let mut allocations = self.lock();
        match self.allocation(&mut allocations, customer, budget).state() {
            State::Ample => plan::Budget::Ample,
            State::Low(left) => plan::Budget::Low(left),
        }
    }

    /// Sets money aside for a request that may cost so much, after asking the platform for a share
    /// where this node has none left.
    pub async fn reserve(
        &self,
        customer: &str,
        budget: &Budget,
        micros: Micros,
        nodes: u32,
    ) -> Result<Reservation, Refusal> {
        let first = self.try_reserve(customer, budget, micros);
        if !matches!(first, Err(Refusal::Unfunded)) {
            return first;
        }
        self.top_up(customer, budget, nodes).await;
        self.try_reserve(customer, budget, micros)
    }

    /// Turns a hold into what the request cost.
    pub fn settle(&self, customer: &str, reservation: Reservation, cost: Micros) {
        if let Some(allocation) = self.lock().by_customer.get_mut(customer) {
            allocation.settle(reservation, cost);
        }
    }

    /// Takes a new share where the one before is half used. True when nothing more is wanted.
    pub async fn top_up(&self, customer: &str, budget: &Budget, nodes: u32) -> bool {
        for _ in 0..MAX_TRIES {
            let Some((period, wanted)) = self.wanted(customer, budget, nodes) else {
                return true;
            };
            match self.take(customer, budget, period, wanted).await {
                Ok(true) => return true,
                Ok(false) => {}
                Err(error) => {
                    log::warn!(event = 1503, customer; "share of a budget can't be taken: {error}");
                    return false;
                }
            }
        }
        false
    }

    /// Takes a share by a conditional write; false when it has to be tried again.
    async fn take(
        &self,
        customer: &str,
        budget: &Budget,
        period: u64,
        wanted: Micros,
    ) -> Result<bool, clients::Error> {
        let partition = format!("spend/{customer}");
        let sort = format!("{period:020}");
        let found = self.table.get(&partition, &sort).await?;
        let before = found.as_ref().map(read).unwrap_or_default();
        if self.resolve(customer, &before) {
            return Ok(true);
        }
        let (account, share) = before.account.allocate(budget.micros, wanted);
        if share == 0 {
            self.grant(customer, period, account.granted, 0);
            return Ok(true);
        }
        let rev = found.as_ref().map(|item| item.rev);
        let name = self.grant_name();
        let row = before.after(account, name.clone());
        let body = serde_json::to_string(&row).unwrap_or_default();
        let item = Item::new(partition, sort, rev.unwrap_or(0) + 1, body);
        let condition = rev.map_or(Condition::Absent, Condition::Rev);
        let pending = Pending {
            name,
            period,
            granted: account.granted,
            share,
        };
        match self.table.put(item, condition).await {
            Ok(()) => {
                self.grant(customer, period, account.granted, share);
                Ok(true)
            }
            Err(clients::Error::Conflict { .. }) => Ok(false),
            Err(clients::Error::Unknown(_)) => {
                let mut allocations = self.lock();
                allocations.pending.insert(customer.to_owned(), pending);
                Ok(false)
            }
            Err(error) => Err(error),
        }
    }

    /// Settles a grant whose answer was lost: the row tells whether the write took effect. Where
    /// later grants hide it, the share counts as not taken, which spends too little, never too much.
    fn resolve(&self, customer: &str, row: &Row) -> bool {
        let pending = self.lock().pending.remove(customer);
        let Some(pending) = pending.filter(|one| row.grants.contains(&one.name)) else {
            return false;
        };
        self.grant(customer, pending.period, pending.granted, pending.share);
        true
    }

    fn try_reserve(
        &self,
        customer: &str,
        budget: &Budget,
        micros: Micros,
    ) -> Result<Reservation, Refusal> {
        let mut allocations = self.lock();
        let dearest = allocations.dearest.entry(customer.to_owned()).or_default();
        *dearest = micros.max(*dearest);
        self.allocation(&mut allocations, customer, budget)
            .reserve(micros)
    }

    fn wanted(&self, customer: &str, budget: &Budget, nodes: u32) -> Option<(u64, Micros)> {
        let mut allocations = self.lock();
        let dearest = allocations.dearest.get(customer).copied().unwrap_or(0);
        let allocation = self.allocation(&mut allocations, customer, budget);
        let wanted = allocation.refill_amount(nodes, dearest)?;
        Some((allocation.period(), wanted))
    }

    fn grant(&self, customer: &str, period: u64, granted: Micros, share: Micros) {
        if let Some(allocation) = self.lock().by_customer.get_mut(customer) {
            allocation.grant(period, granted, share);
        }
    }

    fn grant_name(&self) -> String {
        let mut allocations = self.lock();
        allocations.grants += 1;
        format!("{}-{}", self.name, allocations.grants)
    }

    fn allocation<'a>(
        &self,
        allocations: &'a mut Allocations,
        customer: &str,
        budget: &Budget,
    ) -> &'a mut Allocation {
        let period = period(budget);
        let allocation = allocations
            .by_customer
            .entry(customer.to_owned())
            .or_insert_with(|| Allocation::new(self.settings.clone(), budget.micros, period));
        allocation.update(budget.micros, period);
        allocation
    }

    fn lock(&self) -> MutexGuard<'_, Allocations> {
        self.allocations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Row {
    fn after(mut self, account: Account, grant: String) -> Self {
        self.grants.push(grant);
        let excess = self.grants.len().saturating_sub(MAX_GRANTS);
        self.grants.drain(..excess);
        Self { account, ..self }
    }
}

/// Time until the budget of the next period begins.
pub fn until_renewal(budget: &Budget) -> Duration {
    let length = budget.period_s.max(1);
    Duration::from_secs(length - seconds() % length)
}

/// Number of the current period.
fn period(budget: &Budget) -> u64 {
    seconds() / budget.period_s.max(1)
}

fn seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}

fn read(item: &Item) -> Row {
    serde_json::from_str(&item.body).unwrap_or_default()
}

//! This node's allocations of customers' budgets, granted by the platform's table service.

use clients::Table;
use clients::table::{Condition, Item};
use contract::{Budget, CustomerId, Map, Micros};
use limits::Refusal;
use limits::spend::{Account, Allocation, Reservation, Settings, State};
use policy::plan;
use serde::{Deserialize, Serialize};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Maximum number of conditional writes per allocation.
const MAX_ATTEMPTS: usize = 8;

/// Number of recent grants listed in a row, so that a node finds its own grant after writes of other
/// nodes.
const MAX_GRANTS: usize = 16;

/// Table row of a budget: the granted amount and the identifiers of the most recent grants.
#[derive(Debug, Default, Deserialize, Serialize)]
struct Row {
    account: Account,
    grants: Vec<String>,
}

/// A grant whose write has an unknown outcome.
#[derive(Debug)]
struct Pending {
    id: String,
    period: u64,
    granted: Micros,
    amount: Micros,
}

/// This node's allocations of customers' budgets.
#[derive(Debug)]
pub struct Budgets<T> {
    settings: Settings,
    table: T,
    /// Prefix of grant identifiers, unique to this incarnation of the node.
    grant_prefix: String,
    allocations: Mutex<Allocations>,
}

#[derive(Debug, Default)]
struct Allocations {
    by_customer: Map<CustomerId, Allocation>,
    /// Highest cost of a request of each customer in micro-units of currency.
    max_cost: Map<CustomerId, Micros>,
    pending: Map<CustomerId, Pending>,
    grant_count: u64,
}

impl<T: Table> Budgets<T> {
    /// Creates empty allocations. `grant_prefix` identifies the node and its incarnation.
    ///
    /// ```
    /// use node::schedule::Budgets;
    /// use clients::table::Memory;
    /// let budgets = Budgets::new(Default::default(), Memory::default(), "n1-1".into());
    /// assert_eq!(budgets.remaining("c"), 0);
    /// ```
    pub fn new(settings: Settings, table: T, grant_prefix: String) -> Self {
        Self {
            settings,
            table,
            grant_prefix,
            allocations: Mutex::default(),
        }
    }

    /// Remaining allocation of a customer on this node, in micro-units of currency.
    pub fn remaining(&self, customer: &str) -> Micros {
        let allocations = self.lock();
        allocations
            .by_customer
            .get(customer)
            .map_or(0, Allocation::remaining)
    }

    /// State of the customer's budget for the planner.
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

    /// Reserves the maximum cost of a request. If this node's allocation is exhausted, requests a new
    /// one from the platform first.
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

    /// Replaces a reservation by the actual cost of the request.
    pub fn settle(&self, customer: &str, reservation: Reservation, cost: Micros) {
        if let Some(allocation) = self.lock().by_customer.get_mut(customer) {
            allocation.settle(reservation, cost);
        }
    }

    /// Refills the allocation once half of it is used. True if no further refill is needed.
    pub async fn top_up(&self, customer: &str, budget: &Budget, nodes: u32) -> bool {
        for _ in 0..MAX_ATTEMPTS {
            let Some((period, wanted)) = self.wanted(customer, budget, nodes) else {
                return true;
            };
            match self.allocate(customer, budget, period, wanted).await {
                Ok(true) => return true,
                Ok(false) => {}
                Err(error) => {
                    log::warn!(event = 1503, customer; "budget could not be allocated: {error}");
                    return false;
                }
            }
        }
        false
    }

    /// Allocates part of the budget by a conditional write; false if it has to be retried.
    async fn allocate(
        &self,
        customer: &str,
        budget: &Budget,
        period: u64,
        wanted: Micros,
    ) -> Result<bool, clients::Error> {
        let partition = format!("spend/{customer}");
        let sort = format!("{period:020}");
        let found = self.table.get(&partition, &sort).await?;
        let before = found.as_ref().map(parse_row).unwrap_or_default();
        if self.resolve(customer, &before) {
            return Ok(true);
        }
        let (account, amount) = before.account.allocate(budget.micros, wanted);
        if amount == 0 {
            self.grant(customer, period, account.granted, 0);
            return Ok(true);
        }
        let rev = found.as_ref().map(|item| item.rev);
        let id = self.next_grant_id();
        let row = before.with_grant(account, id.clone());
        let body = serde_json::to_string(&row).unwrap_or_default();
        let item = Item::new(partition, sort, rev.unwrap_or(0) + 1, body);
        let condition = rev.map_or(Condition::Absent, Condition::Rev);
        let pending = Pending {
            id,
            period,
            granted: account.granted,
            amount,
        };
        match self.table.put(item, condition).await {
            Ok(()) => {
                self.grant(customer, period, account.granted, amount);
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

    /// Resolves a grant whose response was lost: the row shows whether the write took effect. If later
    /// grants have displaced it from the row, it counts as not granted: the budget may be underspent,
    /// but never overspent.
    fn resolve(&self, customer: &str, row: &Row) -> bool {
        let pending = self.lock().pending.remove(customer);
        let Some(pending) = pending.filter(|grant| row.grants.contains(&grant.id)) else {
            return false;
        };
        self.grant(customer, pending.period, pending.granted, pending.amount);
        true
    }

    fn try_reserve(
        &self,
        customer: &str,
        budget: &Budget,
        micros: Micros,
    ) -> Result<Reservation, Refusal> {
        let mut allocations = self.lock();
        let max_cost = allocations.max_cost.entry(customer.to_owned()).or_default();
        *max_cost = micros.max(*max_cost);
        self.allocation(&mut allocations, customer, budget)
            .reserve(micros)
    }

    fn wanted(&self, customer: &str, budget: &Budget, nodes: u32) -> Option<(u64, Micros)> {
        let mut allocations = self.lock();
        let max_cost = allocations.max_cost.get(customer).copied().unwrap_or(0);
        let allocation = self.allocation(&mut allocations, customer, budget);
        let wanted = allocation.refill_amount(nodes, max_cost)?;
        Some((allocation.period(), wanted))
    }

    fn grant(&self, customer: &str, period: u64, granted: Micros, amount: Micros) {
        if let Some(allocation) = self.lock().by_customer.get_mut(customer) {
            allocation.grant(period, granted, amount);
        }
    }

    fn next_grant_id(&self) -> String {
        let mut allocations = self.lock();
        allocations.grant_count += 1;
        format!("{}-{}", self.grant_prefix, allocations.grant_count)
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
    /// Adds a grant and drops the oldest ones beyond [`MAX_GRANTS`].
    fn with_grant(mut self, account: Account, grant: String) -> Self {
        self.grants.push(grant);
        let excess = self.grants.len().saturating_sub(MAX_GRANTS);
        self.grants.drain(..excess);
        Self { account, ..self }
    }
}

/// Time until the next budget period begins.
pub fn until_renewal(budget: &Budget) -> Duration {
    let length = budget.period_s.max(1);
    Duration::from_secs(length - unix_seconds() % length)
}

/// Number of the current period.
fn period(budget: &Budget) -> u64 {
    unix_seconds() / budget.period_s.max(1)
}

fn unix_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}

fn parse_row(item: &Item) -> Row {
    serde_json::from_str(&item.body).unwrap_or_default()
}

//! Tests of run records on a faulty table, including the counterexamples found by specs/record.pml.

use clients::Table;
use clients::table::{Condition, Fault, Item, Memory, Range, Write};
use contract::Owner;
use ledger::Error;
use ledger::record::{Answer, Claim, Key, Outcome, Permit, Records, Settings};
use std::sync::Arc;
use tokio::sync::Semaphore;

/// Two nodes that share a table and receive calls with the same key.
struct Fixture {
    table: Memory,
    n1: Records<Memory>,
    n2: Records<Memory>,
}

impl Fixture {
    fn new() -> Self {
        let table = Memory::default();
        Self {
            n1: records(&table, "n1", 1),
            n2: records(&table, "n2", 1),
            table,
        }
    }
}

/// A table whose deletes wait for a semaphore permit.
#[derive(Clone)]
struct Gated {
    table: Memory,
    gate: Arc<Semaphore>,
}

impl Table for Gated {
    async fn get(&self, partition: &str, sort: &str) -> Result<Option<Item>, clients::Error> {
        self.table.get(partition, sort).await
    }

    async fn put(&self, item: Item, condition: Condition) -> Result<(), clients::Error> {
        self.table.put(item, condition).await
    }

    async fn delete(
        &self,
        partition: &str,
        sort: &str,
        condition: Condition,
    ) -> Result<(), clients::Error> {
        let _permit = self.gate.acquire().await.unwrap();
        self.table.delete(partition, sort, condition).await
    }

    async fn list(
        &self,
        partition: &str,
        range: &Range,
        limit: usize,
    ) -> Result<Vec<Item>, clients::Error> {
        self.table.list(partition, range, limit).await
    }

    async fn transact(&self, writes: &[Write], token: &str) -> Result<(), clients::Error> {
        self.table.transact(writes, token).await
    }
}

/// Mutation BLIND_SWEEP: a sweep reads an orphan, but before its delete takes effect, the same node
/// claims the key again and sends the call. The delete must not remove the new claim.
#[tokio::test]
async fn a_late_delete_leaves_a_newer_claim_alone() {
    let table = Memory::default();
    let gated = Gated {
        table: table.clone(),
        gate: Arc::new(Semaphore::new(0)),
    };
    let n1 = Records::new(gated.clone(), Owner::new("n1", 1), Settings::default());
    let n2 = records(&table, "n2", 1);
    drop(n1.claim(&key("{}"), |_| true).await.unwrap());
    let claim_again = async {
        let Ok(Claim::Run(mut permit)) = n1.claim(&key("{}"), |_| true).await else {
            panic!("expected a permit");
        };
        permit.mark_dispatched();
        gated.gate.add_permits(1);
        permit
    };
    let (_, _permit) = tokio::join!(n1.sweep(), claim_again);
    assert!(matches!(answer(&n2).await, Answer::InProgress(_)));
}

fn records(table: &Memory, node: &str, incarnation: u64) -> Records<Memory> {
    Records::new(
        table.clone(),
        Owner::new(node, incarnation),
        Settings::default(),
    )
}

fn key(body: &str) -> Key {
    Key::new("huaman", "tanker-7", "POST", "/bookings", body.as_bytes()).unwrap()
}

fn outcome() -> Outcome {
    Outcome::new(201, Vec::new(), b"booked", &Settings::default())
}

async fn claim(records: &Records<Memory>) -> Result<Claim, Error> {
    records.claim(&key("{}"), |_| true).await
}

async fn run(records: &Records<Memory>) -> Permit {
    match claim(records).await {
        Ok(Claim::Run(permit)) => permit,
        other => panic!("expected a permit, found {other:?}"),
    }
}

async fn answer(records: &Records<Memory>) -> Answer {
    match claim(records).await {
        Ok(Claim::Answer(answer)) => answer,
        other => panic!("expected an answer, found {other:?}"),
    }
}

async fn rows(table: &Memory) -> usize {
    table
        .list("run/huaman", &Range::All, 10)
        .await
        .unwrap()
        .len()
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[tokio::test] async fn $name() { let run = $body; run(Fixture::new()).await; })*
    };
}

cases! {
    // Mutation INSERT_AFTER_DISPATCH: if calls were sent before being claimed, both nodes would send.
    a_second_node_never_gets_a_permit => async |fixture: Fixture| {
        let mut permit = run(&fixture.n1).await;
        permit.mark_dispatched();
        assert_eq!(answer(&fixture.n2).await, Answer::InProgress(Owner::new("n1", 1)));
        fixture.n1.finish(permit, outcome()).await.unwrap();
        assert_eq!(answer(&fixture.n2).await, Answer::Finished(outcome()));
        assert_eq!(answer(&fixture.n1).await, Answer::Finished(outcome()));
    };
    a_lost_insert_answer_is_read_back => async |fixture: Fixture| {
        fixture.table.inject_fault(Fault::ResponseLost);
        run(&fixture.n1).await.mark_dispatched();
        assert!(matches!(answer(&fixture.n2).await, Answer::InProgress(_)));
    };
    a_lost_insert_is_written_again => async |fixture: Fixture| {
        fixture.table.inject_fault(Fault::RequestLost);
        let _permit = run(&fixture.n1).await;
        assert_eq!(rows(&fixture.table).await, 1);
    };
    // Mutation TRUST_LOST_ANSWER: the first node's insert is lost, not just the answer to it, and the
    // second node's claim is in the table when the first node reads the row back.
    a_lost_answer_is_not_treated_as_a_claim => async |fixture: Fixture| {
        let _permit = run(&fixture.n2).await;
        fixture.table.inject_fault(Fault::RequestLost);
        assert!(matches!(answer(&fixture.n1).await, Answer::InProgress(_)));
    };
    an_outage_rejects_the_call_before_it_runs => async |fixture: Fixture| {
        fixture.table.set_down(true);
        assert!(matches!(claim(&fixture.n1).await, Err(Error::Platform(_))));
        fixture.table.set_down(false);
        let _permit = run(&fixture.n2).await;
    };
    a_claim_whose_read_back_fails_is_released => async |fixture: Fixture| {
        fixture.table.inject_fault(Fault::ResponseLost);
        fixture.table.inject_fault(Fault::RequestLost);
        assert!(claim(&fixture.n1).await.is_err());
        assert!(matches!(answer(&fixture.n2).await, Answer::InProgress(_)));
        assert_eq!(fixture.n1.sweep().await, 0);
        let _permit = run(&fixture.n2).await;
    };
    a_node_takes_over_its_own_orphan => async |fixture: Fixture| {
        fixture.table.inject_fault(Fault::ResponseLost);
        fixture.table.inject_fault(Fault::RequestLost);
        assert!(claim(&fixture.n1).await.is_err());
        let mut permit = run(&fixture.n1).await;
        permit.mark_dispatched();
        // Mutation BLIND_SWEEP: a sweep of the orphan must not remove the newer claim.
        fixture.n1.sweep().await;
        assert!(matches!(answer(&fixture.n2).await, Answer::InProgress(_)));
    };
    a_dropped_permit_releases_the_key => async |fixture: Fixture| {
        drop(run(&fixture.n1).await);
        fixture.n1.sweep().await;
        assert_eq!(rows(&fixture.table).await, 0);
        let _permit = run(&fixture.n2).await;
    };
    // Mutation NOT_RUN_ON_TIMEOUT: once a call is dispatched, a lost outcome never counts as "not run".
    a_permit_dropped_after_dispatch_leaves_the_outcome_unknown => async |fixture: Fixture| {
        let mut permit = run(&fixture.n1).await;
        permit.mark_dispatched();
        drop(permit);
        assert_eq!(answer(&fixture.n1).await, Answer::Unknown);
        assert_eq!(fixture.n1.sweep().await, 0);
        assert_eq!(answer(&fixture.n2).await, Answer::Unknown);
        assert_eq!(answer(&fixture.n1).await, Answer::Unknown);
    };
    a_proven_refusal_allows_the_call_to_be_sent_again => async |fixture: Fixture| {
        let mut permit = run(&fixture.n1).await;
        permit.mark_dispatched();
        permit.mark_refused();
        drop(permit);
        fixture.n1.sweep().await;
        let _permit = run(&fixture.n2).await;
    };
    a_dead_owner_s_claim_is_unknown => async |fixture: Fixture| {
        run(&fixture.n1).await.mark_dispatched();
        let dead = fixture.n2.claim(&key("{}"), |owner| owner.node != "n1").await;
        assert!(matches!(dead, Ok(Claim::Answer(Answer::Unknown))));
    };
    a_restarted_owner_doesn_t_run_its_old_claim => async |fixture: Fixture| {
        std::mem::forget(run(&fixture.n1).await);
        let again = records(&fixture.table, "n1", 2);
        let found = again.claim(&key("{}"), |owner| owner.incarnation > 1).await;
        assert!(matches!(found, Ok(Claim::Answer(Answer::Unknown))));
    };
    an_outcome_is_kept_through_an_outage => async |fixture: Fixture| {
        let mut permit = run(&fixture.n1).await;
        permit.mark_dispatched();
        fixture.table.set_down(true);
        assert!(fixture.n1.finish(permit, outcome()).await.is_err());
        assert_eq!(answer(&fixture.n1).await, Answer::Finished(outcome()));
        assert_eq!(fixture.n1.sweep().await, 1);
        fixture.table.set_down(false);
        assert_eq!(fixture.n1.sweep().await, 0);
        assert_eq!(answer(&fixture.n2).await, Answer::Finished(outcome()));
    };
    an_outcome_whose_answer_is_lost_is_written_once => async |fixture: Fixture| {
        let mut permit = run(&fixture.n1).await;
        permit.mark_dispatched();
        fixture.table.inject_fault(Fault::ResponseLost);
        assert!(fixture.n1.finish(permit, outcome()).await.is_err());
        assert_eq!(fixture.n1.sweep().await, 0);
        assert_eq!(answer(&fixture.n2).await, Answer::Finished(outcome()));
    };
    another_request_under_the_key_is_a_conflict => async |fixture: Fixture| {
        let mut permit = run(&fixture.n1).await;
        let other = key("other");
        assert!(matches!(fixture.n1.claim(&other, |_| true).await, Err(Error::Conflict)));
        assert!(matches!(fixture.n2.claim(&other, |_| true).await, Err(Error::Conflict)));
        permit.mark_dispatched();
        fixture.n1.finish(permit, outcome()).await.unwrap();
        assert!(matches!(fixture.n1.claim(&other, |_| true).await, Err(Error::Conflict)));
    };
    a_throttled_claim_is_refused => async |fixture: Fixture| {
        fixture.table.inject_fault(Fault::Throttled);
        assert!(claim(&fixture.n1).await.is_err());
        let _permit = run(&fixture.n2).await;
    };
}

//! Tests of bills: batches, copies at peers and recovery.

use clients::Table;
use clients::table::{Fault, Memory, Range};
use contract::Owner;
use ledger::bill::{Ack, Batch, Bill, Charge, Copies, Journal, Meter, Replica, Settings};
use std::time::{Duration, Instant};

fn bill(request_id: &str) -> Bill {
    let mut meter = Meter::new(request_id, "fraser");
    meter.add(Charge::default());
    meter.close(0).unwrap()
}

fn journal() -> Journal {
    Journal::new(Owner::new("n1", 1), Settings::default())
}

/// Request ids of all bills in the table, in row order.
async fn billed(table: &Memory) -> Vec<String> {
    let items = table.list("bill", &Range::All, 100).await.unwrap();
    let bills = items.iter().flat_map(|item| Batch::read(item).unwrap());
    bills.map(|bill| bill.request_id).collect()
}

/// Delivers one round of copies to the peers, and their acknowledgements to the journal. Returns the
/// acknowledgements.
fn replicate(journal: &mut Journal, now: Instant, replicas: &mut [(&str, Replica)]) -> Vec<Ack> {
    let mut acks = Vec::new();
    for (peer, copies) in journal.copies_due(now) {
        let replica = replicas.iter_mut().find(|(name, _)| *name == peer);
        let ack = replica.unwrap().1.store(now, copies).unwrap();
        journal.acknowledge(&peer, &ack);
        acks.push(ack);
    }
    acks
}

fn replicas() -> [(&'static str, Replica); 2] {
    ["n2", "n3"].map(|name| (name, Replica::new(Settings::default())))
}

#[test]
fn a_request_that_never_ran_has_no_bill() {
    assert!(Meter::new("r1", "fraser").close(0).is_none());
}

#[test]
fn a_bill_is_durable_with_two_copies() {
    let (mut journal, mut peers, now) = (journal(), replicas(), Instant::now());
    journal.set_peers(&["n2".into(), "n3".into()]);
    let first = journal.add(now, bill("r1"));
    assert!(!journal.is_durable(first));
    replicate(&mut journal, now, &mut peers);
    assert!(journal.is_durable(first));
    let second = journal.add(now, bill("r2"));
    assert!(journal.is_durable(first) && !journal.is_durable(second));
    replicate(&mut journal, now, &mut peers);
    assert!(journal.is_durable(second));
}

#[test]
fn one_copy_is_not_enough() {
    let (mut journal, mut peers, now) = (journal(), replicas(), Instant::now());
    journal.set_peers(&["n2".into()]);
    let position = journal.add(now, bill("r1"));
    replicate(&mut journal, now, &mut peers);
    assert!(!journal.is_durable(position));
}

#[test]
fn a_lost_copy_is_sent_again() {
    let (mut journal, mut peers, now) = (journal(), replicas(), Instant::now());
    journal.set_peers(&["n2".into(), "n3".into()]);
    let position = journal.add(now, bill("r1"));
    assert_eq!(journal.copies_due(now).len(), 2);
    assert!(journal.copies_due(now).is_empty());
    let later = now + Settings::default().retry_interval;
    assert_eq!(replicate(&mut journal, later, &mut peers).len(), 2);
    assert!(journal.is_durable(position));
}

#[test]
fn a_peer_that_restarted_is_sent_all_lines() {
    let (mut journal, mut peers, now) = (journal(), replicas(), Instant::now());
    journal.set_peers(&["n2".into(), "n3".into()]);
    journal.add(now, bill("r1"));
    replicate(&mut journal, now, &mut peers);
    peers[0].1 = Replica::new(Settings::default());
    let position = journal.add(now, bill("r2"));
    replicate(&mut journal, now, &mut peers);
    assert!(
        !journal.is_durable(position),
        "the restarted peer has a gap"
    );
    replicate(&mut journal, now, &mut peers);
    assert!(journal.is_durable(position));
    assert_eq!(peers[0].1.count(), 2);
}

#[tokio::test]
async fn a_failed_write_is_retried_and_results_in_one_row() {
    let (table, mut journal, now) = (Memory::default(), journal(), Instant::now());
    let position = journal.add(now, bill("r1"));
    let settings = Settings::default();
    let due = now + settings.flush_age;
    table.inject_fault(Fault::ResponseLost);
    let batch = journal.batch_due(due).unwrap();
    assert!(batch.write(&table).await.is_err());
    assert!(journal.batch_due(due).is_none());
    let batch = journal.batch_due(due + settings.retry_interval).unwrap();
    batch.write(&table).await.unwrap();
    journal.mark_stored(batch.sequence);
    assert!(journal.is_durable(position));
    assert_eq!(billed(&table).await, ["r1"]);
}

#[tokio::test]
async fn peers_write_the_bills_of_a_dead_node_once() {
    let (table, mut journal, mut peers) = (Memory::default(), journal(), replicas());
    let now = Instant::now();
    journal.set_peers(&["n2".into(), "n3".into()]);
    journal.add(now, bill("r1"));
    replicate(&mut journal, now, &mut peers);
    // The second bill reaches only one peer.
    journal.add(now, bill("r2"));
    let (_, copies) = journal.copies_due(now).remove(0);
    let longer = peers.iter_mut().find(|(name, _)| *name == "n3").unwrap();
    longer.1.store(now, copies).unwrap();
    assert!(peers[0].1.overdue(now).is_empty());
    let later = now + Settings::default().owner_timeout;
    for _ in 0..2 {
        for (_, replica) in &peers {
            for batch in replica.overdue(later) {
                batch.recover(&table).await.unwrap();
            }
        }
    }
    assert_eq!(billed(&table).await, ["r1", "r2"]);
}

#[tokio::test]
async fn a_peer_never_shortens_the_owner_s_row() {
    let (table, mut journal, mut peers) = (Memory::default(), journal(), replicas());
    let now = Instant::now();
    journal.set_peers(&["n2".into()]);
    journal.add(now, bill("r1"));
    replicate(&mut journal, now, &mut peers);
    journal.add(now, bill("r2"));
    journal.close_batch();
    journal.batch_due(now).unwrap().write(&table).await.unwrap();
    let batch = peers[0]
        .1
        .overdue(now + Settings::default().owner_timeout)
        .remove(0);
    assert_eq!(batch.bills.len(), 1);
    batch.recover(&table).await.unwrap();
    assert_eq!(billed(&table).await, ["r1", "r2"]);
}

#[test]
fn a_peer_drops_bills_that_the_platform_has_stored() {
    let (mut journal, mut peers, now) = (journal(), replicas(), Instant::now());
    journal.set_peers(&["n2".into(), "n3".into()]);
    journal.add(now, bill("r1"));
    replicate(&mut journal, now, &mut peers);
    journal.close_batch();
    let batch = journal.batch_due(now).unwrap();
    journal.mark_stored(batch.sequence);
    let later = now + Settings::default().owner_timeout / 2;
    replicate(&mut journal, later, &mut peers);
    assert_eq!((peers[0].1.count(), peers[1].1.count()), (0, 0));
    assert!(
        journal
            .copies_due(later + Duration::from_secs(60))
            .is_empty()
    );
}

#[test]
fn a_full_peer_stores_no_more_copies() {
    let settings = Settings {
        replica_capacity: 1,
        ..Settings::default()
    };
    let mut replica = Replica::new(settings);
    let copies = |sequence| Copies {
        owner: Owner::new("n1", 1),
        sequence,
        start: 0,
        bills: vec![bill("r1")],
        stored_below: 1,
    };
    assert!(replica.store(Instant::now(), copies(1)).is_some());
    assert!(replica.store(Instant::now(), copies(2)).is_none());
}

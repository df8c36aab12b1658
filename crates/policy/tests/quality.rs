//! Quality estimates and the exchange of counts.

use policy::quality::{Cell, Counts, Origin, Settings, Subject, Table};
use proptest::prelude::*;
use std::time::{Duration, Instant};

mod case;

const SUBJECT: Subject = Subject {
    model: "small",
    version: "1",
    task: "tag",
    customer: "c",
};

fn subject_of(customer: &'static str) -> Subject<'static> {
    Subject {
        customer,
        ..SUBJECT
    }
}

fn rated(customer: &'static str, good: u32, bad: u32) -> Table {
    let now = Instant::now();
    let mut table = Table::default();
    for index in 0..good + bad {
        table.observe(now, subject_of(customer), index < good);
    }
    table
}

fn mean_within(table: Table, customer: &'static str, low: f64, high: f64) {
    let mean = table
        .estimate(Instant::now(), subject_of(customer), 0.5)
        .mean;
    assert!((low..high).contains(&mean), "mean {mean}");
}

cases! { mean_within =>
    without_ratings_the_estimate_is_the_prior: Table::default(), "c", 0.499, 0.501;
    own_ratings_outweigh_the_prior: rated("c", 95, 5), "c", 0.9, 0.95;
    other_customers_ratings_apply_to_a_new_customer: rated("other", 95, 5), "c", 0.9, 0.95;
    a_few_own_bad_ratings_lower_the_estimate: rated("c", 0, 4), "c", 0.2, 0.4;
}

#[test]
fn many_other_ratings_do_not_outweigh_the_customers_own() {
    let now = Instant::now();
    let mut table = rated("other", 5_000, 0);
    for _ in 0..40 {
        table.observe(now, subject_of("c"), false);
    }
    assert!(table.estimate(now, subject_of("c"), 0.5).mean < 0.55);
    assert!(table.estimate(now, subject_of("other"), 0.5).mean > 0.98);
}

#[test]
fn old_ratings_decay() {
    let now = Instant::now();
    let table = rated("c", 0, 64);
    let later = now + Settings::default().half_life * 8;
    assert!(table.estimate(now, SUBJECT, 0.9).mean < 0.15);
    assert!(table.estimate(later, SUBJECT, 0.9).mean > 0.85);
}

#[test]
fn counts_of_a_restarted_peer_add_to_its_earlier_ones() {
    let now = Instant::now();
    let mut table = Table::default();
    for incarnation in [1, 2] {
        let origin = Origin {
            node: "n".into(),
            incarnation,
        };
        table.merge(now, &origin, &cell("c", 1, 10.0, 0.0));
    }
    assert_eq!(table.counts(now, SUBJECT).good, 20.0);
}

#[test]
fn cells_that_are_not_numbers_are_dropped() {
    let now = Instant::now();
    let mut table = Table::default();
    let merged = table.merge(now, &origin("n"), &cell("c", 1, f64::NAN, 0.0));
    assert_eq!(merged, None);
    assert_eq!(table.counts(now, SUBJECT), Counts::default());
}

#[test]
fn pruning_keeps_non_negligible_counts() {
    let now = Instant::now();
    let mut table = rated("c", 10, 0);
    table.prune(now + Duration::from_secs(60));
    assert_eq!(table.cells(now, 0).len(), 1);
    table.prune(now + Settings::default().half_life * 20);
    assert!(table.cells(now, 0).is_empty());
}

fn origin(node: &str) -> Origin {
    Origin {
        node: node.into(),
        incarnation: 1,
    }
}

fn cell(customer: &str, sequence: u64, good: f64, bad: f64) -> Cell {
    Cell {
        model: "small".into(),
        version: "1".into(),
        task: "tag".into(),
        customer: customer.into(),
        sequence,
        good,
        bad,
    }
}

/// Cells whose counts are determined by the sequence number, as those of a real sender are.
fn sent() -> impl Strategy<Value = Vec<(Origin, Cell)>> {
    let one = (0..3_usize, 0..2_usize, 1..6_u64).prop_map(|(node, customer, sequence)| {
        let counts = (sequence as f64, sequence as f64 / 2.0);
        let cell = cell(["c", "d"][customer], sequence, counts.0, counts.1);
        (origin(["n1", "n2", "n3"][node]), cell)
    });
    proptest::collection::vec(one, 0..24)
}

fn merged<'a>(now: Instant, cells: impl IntoIterator<Item = &'a (Origin, Cell)>) -> [f64; 3] {
    let mut table = Table::default();
    for (origin, cell) in cells {
        table.merge(now, origin, cell);
    }
    let total = table.counts(now, SUBJECT);
    let mean = table.estimate(now, SUBJECT, 0.5).mean;
    [total.good, total.bad, mean]
}

fn close(left: [f64; 3], right: [f64; 3]) -> bool {
    left.iter().zip(right).all(|(a, b)| (a - b).abs() < 1e-9)
}

proptest! {
    #[test]
    fn merging_is_commutative_and_idempotent(cells in sent(), turn in 0..24_usize) {
        let now = Instant::now();
        let once = merged(now, &cells);
        let mut turned = cells.clone();
        turned.rotate_left(turn.min(cells.len()));
        turned.reverse();
        prop_assert!(close(once, merged(now, &turned)));
        prop_assert!(close(once, merged(now, cells.iter().chain(&turned))));
    }

    #[test]
    fn estimates_are_shares(good in 0..200_u32, bad in 0..200_u32, prior in 0.0..=1.0_f64) {
        let estimate = rated("c", good, bad).estimate(Instant::now(), SUBJECT, prior);
        prop_assert!((0.0..=1.0).contains(&estimate.mean));
        prop_assert!(estimate.lower <= estimate.mean);
    }
}

//! The memory that bodies occupy together.

use edge::memory::{Budget, Exhausted};
use std::time::Duration;
use tokio::time::timeout;

const MEBIBYTE: usize = 1 << 20;

#[tokio::test]
async fn the_largest_response_makes_room_for_others() {
    let budget = Budget::new(10 * MEBIBYTE);
    let (mut large, mut small) = (budget.revocable_charge(), budget.revocable_charge());
    large.grow(7 * MEBIBYTE).unwrap();
    small.grow(2 * MEBIBYTE).unwrap();
    let mut request = budget.charge();
    assert_eq!(request.grow(4 * MEBIBYTE), Ok(()));
    assert!(
        timeout(Duration::from_secs(1), large.revoked())
            .await
            .is_ok()
    );
    assert!(timeout(Duration::ZERO, small.revoked()).await.is_err());
    assert_eq!(large.grow(1), Err(Exhausted), "it is to be released");
    drop(large);
    assert_eq!(budget.used(), 6 * MEBIBYTE);
    assert!(small.settle().is_ok());
}

#[test]
fn the_largest_response_itself_gets_no_more() {
    let budget = Budget::new(10 * MEBIBYTE);
    let mut other = budget.revocable_charge();
    other.grow(4 * MEBIBYTE).unwrap();
    let mut largest = budget.revocable_charge();
    largest.grow(5 * MEBIBYTE).unwrap();
    assert_eq!(largest.grow(2 * MEBIBYTE), Err(Exhausted));
    assert!(other.settle().is_ok(), "the smaller one stays");
}

#[test]
fn a_response_that_is_complete_is_not_revoked() {
    let budget = Budget::new(10 * MEBIBYTE);
    let mut charge = budget.revocable_charge();
    charge.grow(9 * MEBIBYTE).unwrap();
    let settled = charge.settle().unwrap();
    assert_eq!(budget.charge().grow(2 * MEBIBYTE), Err(Exhausted));
    drop(settled);
    assert_eq!(budget.charge().grow(2 * MEBIBYTE), Ok(()));
}

#[test]
fn a_revoked_response_is_not_settled() {
    let budget = Budget::new(10 * MEBIBYTE);
    let mut charge = budget.revocable_charge();
    charge.grow(9 * MEBIBYTE).unwrap();
    let mut request = budget.charge();
    request.grow(2 * MEBIBYTE).unwrap();
    assert!(charge.settle().is_err());
    assert_eq!(budget.used(), 2 * MEBIBYTE, "both counts are settled");
    drop(request);
    assert_eq!(budget.used(), 0);
}

#[test]
fn what_is_taken_returns_after_any_order_of_ends() {
    let budget = Budget::new(10 * MEBIBYTE);
    for order in 0..6 {
        let mut charges: Vec<_> = (0..3).map(|_| budget.revocable_charge()).collect();
        for size in 1..=3 {
            for charge in &mut charges {
                // Some of them are revoked by the others.
                let _ = charge.grow(size * MEBIBYTE);
            }
        }
        assert!(budget.used() <= 18 * MEBIBYTE);
        charges.rotate_left(order % 3);
        if order >= 3 {
            charges.reverse();
        }
        charges.into_iter().for_each(drop);
        assert_eq!(budget.used(), 0);
        assert_eq!(budget.charge().grow(10 * MEBIBYTE), Ok(()));
    }
}

//! Admission: priorities, fair shares, and refusal of requests that would miss their deadline.

use limits::Refusal;
use limits::admission::{Decision, Dequeued, Queue, Request, Settings};
use proptest::prelude::*;
use std::time::{Duration, Instant};

mod case;

const RUN: Duration = Duration::from_millis(100);

fn request(now: Instant, ticket: u64, customer: &'static str) -> Request<'static> {
    Request {
        ticket,
        customer,
        priority: 5,
        weight: 1,
        deadline: now + Duration::from_secs(600),
        expected: RUN,
    }
}

/// A queue whose only slot is occupied, so that all later requests wait.
fn occupied_queue(now: Instant, max_waiting: usize) -> Queue {
    let settings = Settings {
        max_waiting,
        ..Default::default()
    };
    let mut queue = Queue::new(settings, 1);
    assert_eq!(queue.admit(now, request(now, 0, "x")), Ok(Decision::Run));
    queue
}

/// Runs the waiting requests one after the other and returns their order.
fn drain(now: Instant, queue: &mut Queue) -> Vec<u64> {
    let mut order = Vec::new();
    loop {
        queue.complete(RUN);
        match queue.dequeue(now) {
            Some(Dequeued::Run(ticket)) => order.push(ticket),
            Some(Dequeued::Shed(ticket)) => panic!("request {ticket} was shed before its deadline"),
            None => return order,
        }
    }
}

/// Customer, priority and weight.
type Arrival = (&'static str, u8, u32);

fn serves_in_order(arrivals: &[Arrival], expected: &[u64]) {
    let now = Instant::now();
    let mut queue = occupied_queue(now, 100);
    for (ticket, (customer, priority, weight)) in (1..).zip(arrivals) {
        let offer = Request {
            priority: *priority,
            weight: *weight,
            ..request(now, ticket, customer)
        };
        assert_eq!(queue.admit(now, offer), Ok(Decision::Wait));
    }
    assert_eq!(drain(now, &mut queue), expected);
}

cases! { serves_in_order =>
    one_customer_in_order: &[("a", 5, 1), ("a", 5, 1), ("a", 5, 1)], &[1, 2, 3];
    priorities_first: &[("a", 5, 1), ("b", 0, 1), ("c", 9, 1)], &[2, 1, 3];
    a_large_customer_doesnt_starve_a_small_one:
        &[("a", 5, 1), ("a", 5, 1), ("a", 5, 1), ("b", 5, 1), ("b", 5, 1)], &[1, 4, 2, 5, 3];
    weights_share: &[("a", 5, 2), ("a", 5, 2), ("a", 5, 2), ("a", 5, 2), ("b", 5, 1), ("b", 5, 1)],
        &[1, 5, 2, 3, 6, 4];
}

/// Offers 30 requests with a deadline of one second and an expected run time of a tenth of it.
/// Returns how many are admitted.
fn count_admitted(queue: &mut Queue, now: Instant, customer: &'static str) -> usize {
    let offers = (100..130).filter(|ticket| {
        let urgent = Request {
            deadline: now + Duration::from_secs(1),
            ..request(now, *ticket, customer)
        };
        match queue.admit(now, urgent) {
            Ok(_) => true,
            Err(Refusal::Late { .. }) => false,
            Err(refusal) => panic!("{refusal}"),
        }
    });
    offers.count()
}

#[test]
fn requests_that_would_be_late_are_refused_at_once() {
    let now = Instant::now();
    let mut queue = occupied_queue(now, 100);
    // One request runs and eight wait. A ninth would end after 0.9 s, the share of the time until
    // the deadline that may be used.
    assert_eq!(count_admitted(&mut queue, now, "a"), 8);
    assert_eq!(queue.waiting(), 8);
}

#[test]
fn later_work_doesnt_delay_what_is_due_earlier() {
    let now = Instant::now();
    let mut queue = occupied_queue(now, 100);
    for ticket in 1..=20 {
        queue
            .admit(now, request(now, ticket, "a"))
            .expect("the queue has room");
    }
    assert_eq!(count_admitted(&mut queue, now, "a"), 8);
    assert_eq!(
        drain(now, &mut queue)[..8],
        [100, 101, 102, 103, 104, 105, 106, 107]
    );
}

#[test]
fn other_customers_take_their_share_of_the_time() {
    let now = Instant::now();
    let mut queue = occupied_queue(now, 100);
    for ticket in 1..=20 {
        queue
            .admit(now, request(now, ticket, "b"))
            .expect("the queue has room");
    }
    let count = count_admitted(&mut queue, now, "a");
    assert!((3..=4).contains(&count), "{count}");
}

#[test]
fn a_request_that_waited_too_long_is_shed() {
    let now = Instant::now();
    let mut queue = occupied_queue(now, 100);
    let urgent = Request {
        deadline: now + Duration::from_secs(1),
        ..request(now, 1, "a")
    };
    queue.admit(now, urgent).expect("the queue has room");
    queue.complete(RUN);
    assert_eq!(
        queue.dequeue(now + Duration::from_secs(1)),
        Some(Dequeued::Shed(1))
    );
    assert_eq!(queue.running(), 0);
}

#[test]
fn a_full_queue_evicts_the_customer_that_fills_it() {
    let now = Instant::now();
    let mut queue = occupied_queue(now, 3);
    for ticket in 1..=3 {
        queue
            .admit(now, request(now, ticket, "a"))
            .expect("the queue has room");
    }
    let more = queue.admit(now, request(now, 4, "a"));
    assert!(matches!(more, Err(Refusal::Full { .. })), "{more:?}");
    assert_eq!(
        queue.admit(now, request(now, 5, "b")),
        Ok(Decision::Evict(3))
    );
    assert_eq!(drain(now, &mut queue), [1, 5, 2]);
}

#[test]
fn a_cancelled_request_gives_up_its_place() {
    let now = Instant::now();
    let mut queue = occupied_queue(now, 3);
    queue
        .admit(now, request(now, 1, "a"))
        .expect("the queue has room");
    assert!(queue.cancel(1));
    assert!(!queue.cancel(1));
    assert!(drain(now, &mut queue).is_empty());
}

proptest! {
    #[test]
    fn bounds_hold_and_no_request_is_lost(
        capacity in 1..5_u32,
        max_waiting in 0..10_usize,
        steps in proptest::collection::vec((0..4_u8, 0..3_usize, 0..10_u8), 0..200),
    ) {
        let now = Instant::now();
        let settings = Settings { max_waiting, ..Default::default() };
        let mut queue = Queue::new(settings, capacity);
        let (mut running, mut queued) = (0_u32, 0_usize);
        for (ticket, (step, customer, priority)) in (0..).zip(steps) {
            let offered = Request {
                priority,
                ..request(now, ticket, ["a", "b", "c"][customer])
            };
            match step {
                0 if running > 0 => {
                    queue.complete(RUN);
                    running -= 1;
                }
                1 => {
                    if let Some(Dequeued::Run(_)) = queue.dequeue(now) {
                        running += 1;
                        queued -= 1;
                    }
                }
                _ => match queue.admit(now, offered) {
                    Ok(Decision::Run) => running += 1,
                    Ok(Decision::Wait) => queued += 1,
                    Ok(Decision::Evict(_)) | Err(_) => (),
                },
            }
            prop_assert!(running <= capacity);
            prop_assert!(queued <= max_waiting);
            prop_assert_eq!((queue.running(), queue.waiting()), (running, queued));
        }
    }
}

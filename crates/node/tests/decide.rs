//! Scheduling on a node: queues, budgets, ratings and placement with real locks and clocks.

use clients::table::{Fault, Memory};
use contract::{Budget, Config, Version};
use limits::Refusal;
use node::fleet::{Kind, Server};
use node::schedule::{Arrival, Budgets, Policy, Queues, Requirements, Sample, Scheduler, Settings};
use policy::placement::{Load, Query};
use std::sync::Arc;
use std::time::{Duration, Instant};

fn arrival(capacity: u32, customer: &str) -> Arrival<'_> {
    Arrival {
        pool: "small@1",
        capacity,
        customer,
        priority: 5,
        weight: 1,
        deadline: Instant::now() + Duration::from_secs(20),
        expected: Duration::from_millis(10),
    }
}

#[tokio::test]
async fn a_dropped_permit_admits_the_next_request() -> Result<(), Refusal> {
    let queues = Arc::new(Queues::new(Default::default()));
    let first = queues.acquire(arrival(1, "a")).await?;
    let waiting = tokio::spawn({
        let queues = Arc::clone(&queues);
        async move { queues.acquire(arrival(1, "b")).await.map(drop) }
    });
    while queues.counts("small@1") != (1, 1) {
        tokio::task::yield_now().await;
    }
    drop(first);
    waiting.await.expect("no panic")?;
    assert_eq!(queues.counts("small@1"), (0, 0));
    Ok(())
}

#[tokio::test]
async fn a_larger_capacity_admits_the_next_request() -> Result<(), Refusal> {
    let queues = Arc::new(Queues::new(Default::default()));
    let _first = queues.acquire(arrival(1, "a")).await?;
    let waiting = tokio::spawn({
        let queues = Arc::clone(&queues);
        async move { queues.acquire(arrival(1, "b")).await }
    });
    while queues.counts("small@1") != (1, 1) {
        tokio::task::yield_now().await;
    }
    queues.resize("small@1", 2);
    let second = tokio::time::timeout(Duration::from_secs(10), waiting).await;
    assert!(matches!(second, Ok(Ok(Ok(_)))), "{second:?}");
    Ok(())
}

#[tokio::test]
async fn cancelled_callers_leave_the_queue() -> Result<(), Refusal> {
    let queues = Arc::new(Queues::new(Default::default()));
    let first = queues.acquire(arrival(1, "a")).await?;
    for _ in 0..20 {
        let cancelled =
            tokio::time::timeout(Duration::from_millis(1), queues.acquire(arrival(1, "b")));
        assert!(cancelled.await.is_err());
    }
    assert_eq!(queues.counts("small@1"), (1, 0));
    drop(first);
    assert_eq!(queues.counts("small@1"), (0, 0));
    Ok(())
}

const BUDGET: Budget = Budget {
    micros: 1_000,
    period_s: 1_000_000_000,
};

#[tokio::test]
async fn nodes_share_a_budget_without_exceeding_it() {
    let table = Memory::default();
    let nodes: Vec<_> = (0..3)
        .map(|node| Budgets::new(Default::default(), table.clone(), format!("n{node}-1")))
        .collect();
    let mut spent = 0;
    for turn in 0..600 {
        let budgets = &nodes[turn % 3];
        if turn % 7 == 0 {
            table.inject_fault([Fault::ResponseLost, Fault::RequestLost, Fault::None][turn % 3]);
        }
        if let Ok(reservation) = budgets.reserve("c", &BUDGET, 5, 3).await {
            budgets.settle("c", reservation, 5);
            spent += 5;
        }
    }
    assert!((900..=1_000).contains(&spent), "{spent}");
}

#[tokio::test]
async fn allocated_budget_stays_usable_in_an_outage() {
    let table = Memory::default();
    let budgets = Budgets::new(Default::default(), table.clone(), "n1-1".into());
    assert!(budgets.reserve("c", &BUDGET, 1, 2).await.is_ok());
    let remaining = budgets.remaining("c");
    assert!(remaining > 100, "{remaining}");
    table.set_down(true);
    assert!(budgets.reserve("c", &BUDGET, remaining, 2).await.is_ok());
    let refused = budgets.reserve("c", &BUDGET, 1, 2).await;
    assert_eq!(refused.map(drop), Err(Refusal::Unfunded));
}

fn scheduler(node: &str, policy: Policy) -> Arc<Scheduler> {
    let settings = Settings {
        policy,
        ..Default::default()
    };
    // No server listens on this port, so that each rating fails immediately.
    let ratings = clients::ratings::Settings {
        url: "http://127.0.0.1:9".into(),
        ..Default::default()
    };
    let client = clients::ratings::Client::new(ratings).expect("a client");
    Arc::new(Scheduler::new(settings, node.into(), 1, client))
}

fn version(name: &str, price: u64, quality: f64) -> Version {
    let text = format!(
        r#"{{"name":"{name}","input_micros":{price},"output_micros":{price},"quality":{quality}}}"#
    );
    serde_json::from_str(&text).expect("a version")
}

/// Returns the model that a policy selects for a task of quality 0.9, of a cheap model below it and
/// an expensive one above it.
fn selected_model(policy: Policy) -> String {
    let (cheap, best) = (version("1", 10, 0.6), version("2", 100, 0.99));
    let offered = [(("small", &cheap), true), (("large", &best), true)];
    let task = serde_json::from_str(r#"{"quality":0.9,"cascade":false}"#).expect("a task");
    let requirements = Requirements {
        expected: Some(&task),
        ..Default::default()
    };
    let selection = scheduler("n1", policy).plan(&Config::default(), &requirements, &offered);
    selection.expect("a plan").first.0
}

#[test]
fn baseline_policies_follow_their_rule() {
    assert_eq!(selected_model(Policy::Best), "large");
    assert_eq!(selected_model(Policy::Cheapest), "small");
    assert_eq!(selected_model(Policy::Planned), "large");
}

#[test]
fn received_ratings_count_once_and_are_not_forwarded() {
    let (one, two) = (
        scheduler("n1", Policy::Planned),
        scheduler("n2", Policy::Planned),
    );
    let cell = wire::Cell {
        model: "small".into(),
        version: "1".into(),
        task: "tag".into(),
        customer: "c".into(),
        sequence: 1,
        good: 4.0,
        bad: 1.0,
    };
    let ratings = wire::Ratings {
        node: "n3".into(),
        incarnation: 1,
        cells: vec![cell],
    };
    one.merge_ratings(ratings.clone());
    one.merge_ratings(ratings);
    let row = &one.dump().versions[0];
    assert!((4.9..=5.0).contains(&(row.good + row.bad)), "{row:?}");
    assert!(
        one.rating_frames(true).is_empty(),
        "a node only sends its own ratings"
    );
    assert!(two.dump().versions.is_empty());
}

#[tokio::test]
async fn a_failing_rating_service_trips_the_breaker() {
    let scheduler = scheduler("n1", Policy::Planned);
    let sample = Sample {
        model: "small".into(),
        version: "1".into(),
        task: "tag".into(),
        customer: "c".into(),
        escalated: false,
        prompt: String::new(),
        answer: String::new(),
    };
    assert!(scheduler.dump().rating_ms.is_some());
    for _ in 0..3 {
        assert_eq!(scheduler.rate(&sample).await, None);
    }
    assert_eq!(scheduler.dump().rating_ms, None);
}

#[test]
fn placement_uses_the_current_server_list() {
    let scheduler = scheduler("n1", Policy::Planned);
    let server = |id: &str| Server {
        id: id.into(),
        zone: "a".into(),
        kind: Kind::Engine {
            model: "small".into(),
            version: "1".into(),
        },
        leaving: false,
    };
    let load = |_: &str| Some(Load::default());
    let place =
        |list: &Arc<Vec<Server>>| scheduler.place(list, ("small", "1"), &Query::default(), load);
    assert_eq!(place(&Arc::new(vec![server("s1")])), Some("s1".into()));
    assert_eq!(place(&Arc::new(vec![server("s2")])), Some("s2".into()));
    assert_eq!(place(&Arc::default()), None);
}

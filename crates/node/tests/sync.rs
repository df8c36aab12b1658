//! Configuration changes with a faulty table and with concurrent operators.

use clients::table::{Fault, Memory};
use node::link::{self, Hub};
use node::sync::{Error, Replica, Settings};
use std::sync::Arc;
use wire::Entry;

type Node = Arc<Replica<Memory>>;

fn node(table: &Memory) -> Node {
    let hub = Hub::new(link::Settings::default());
    Replica::new(Settings::default(), table.clone(), hub, None)
}

fn zone(name: &str, out: bool) -> Vec<Entry> {
    let body = format!(r#"{{"zone":{{"name":"{name}","out":{out}}}}}"#);
    vec![Entry {
        key: format!("zone/{name}"),
        body: Some(body),
    }]
}

async fn put(
    node: &Node,
    change: &str,
    base: Option<u64>,
    entries: Vec<Entry>,
) -> Result<u64, Error> {
    let accepted = node.propose(change.into(), base, entries).await?;
    Ok(accepted.revision)
}

/// Each case lists the faults of the next table calls and the expected result of the change.
macro_rules! table_faults {
    ($($name:ident: $faults:expr => $pattern:pat,)*) => {$(
        #[tokio::test]
        async fn $name() {
            let table = Memory::default();
            let node = node(&table);
            $faults.into_iter().for_each(|fault| table.inject_fault(fault));
            let result = put(&node, "c1", None, zone("a", true)).await;
            assert!(matches!(result, $pattern), "{result:?}");
        }
    )*};
}

use Fault::{None as NoFault, RequestLost, ResponseLost, Throttled};
table_faults! {
    answer_lost_after_the_write: [NoFault, NoFault, ResponseLost] => Ok(1),
    call_lost_before_the_write: [NoFault, NoFault, RequestLost] => Ok(1),
    throttled_write: [NoFault, NoFault, Throttled] => Ok(1),
    head_unreadable: [RequestLost] => Err(Error::Platform(_)),
    answer_lost_before_an_outage: [NoFault, NoFault, ResponseLost, RequestLost] =>
        Err(Error::UnknownOutcome { .. }),
}

#[tokio::test]
async fn unknown_outcome_is_resolved_by_the_change_id() {
    let table = Memory::default();
    let node = node(&table);
    for fault in [NoFault, NoFault, ResponseLost, RequestLost] {
        table.inject_fault(fault);
    }
    assert!(put(&node, "c1", None, zone("a", true)).await.is_err());
    assert_eq!(node.outcome("c1").await.unwrap().unwrap().revision, 1);
    assert_eq!(put(&node, "c1", None, zone("a", true)).await.unwrap(), 1);
    let reused = put(&node, "c1", None, zone("a", false)).await;
    assert!(matches!(
        reused,
        Err(Error::ChangeIdReused { revision: 1, .. })
    ));
}

#[tokio::test]
async fn concurrent_changes_of_one_object_conflict() {
    let table = Memory::default();
    let (first, second) = (node(&table), node(&table));
    put(&first, "c1", Some(0), zone("a", true)).await.unwrap();
    let result = put(&second, "c2", Some(0), zone("a", false)).await;
    let Err(Error::Conflict(conflict)) = result else {
        panic!("{result:?}");
    };
    assert_eq!((conflict.revision, conflict.change.as_str()), (1, "c1"));
    assert_eq!(conflict.ours, zone("a", false)[0]);
    assert_eq!(conflict.theirs, zone("a", true)[0]);
}

#[tokio::test]
async fn changes_of_other_objects_are_rebased() {
    let table = Memory::default();
    let (first, second) = (node(&table), node(&table));
    put(&first, "c1", Some(0), zone("a", true)).await.unwrap();
    assert_eq!(
        put(&second, "c2", Some(0), zone("b", true)).await.unwrap(),
        2
    );
    assert!(second.config().is_zone_out("a"));
}

#[tokio::test]
async fn twenty_concurrent_operators_all_get_a_revision() {
    let table = Memory::default();
    let tasks: Vec<_> = (0..20)
        .map(|index| {
            let node = node(&table);
            tokio::spawn(async move {
                put(
                    &node,
                    &format!("c{index}"),
                    Some(0),
                    zone(&format!("z{index}"), true),
                )
                .await
            })
        })
        .collect();
    let mut revisions = Vec::new();
    for task in tasks {
        revisions.push(task.await.unwrap().unwrap());
    }
    revisions.sort_unstable();
    assert_eq!(revisions, (1..=20).collect::<Vec<_>>());
}

#[tokio::test]
async fn node_starting_late_loads_objects_and_revisions() {
    let table = Memory::default();
    let first = node(&table);
    for index in 0..5 {
        put(
            &first,
            &format!("c{index}"),
            None,
            zone("a", index % 2 == 0),
        )
        .await
        .unwrap();
    }
    let late = node(&table);
    put(&late, "late", None, zone("b", true)).await.unwrap();
    assert_eq!(late.config().revision(), 6);
    assert!(late.config().is_zone_out("a"));
}

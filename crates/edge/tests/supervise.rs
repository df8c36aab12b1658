//! Tasks that run for as long as the node does.

mod fixture;

use edge::app::App;
use edge::supervise::supervise;
use fixture::site;
use settings::log::Drops;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Time within which a task that panicked runs again: half of that allowed for applying a change.
const RESTART_TIME: Duration = Duration::from_secs(1);

#[tokio::test]
async fn a_task_that_panics_is_started_again() {
    let app = Arc::new(App::new(site(), Drops::default()).unwrap());
    let (sender, mut started) = mpsc::unbounded_channel();
    let starts = Arc::new(AtomicU32::new(0));
    supervise(&app, "test", move |_| {
        let (sender, starts) = (sender.clone(), Arc::clone(&starts));
        async move {
            let start = starts.fetch_add(1, Ordering::Relaxed);
            assert!(start > 0, "the first start panics");
            sender.send(start).unwrap();
        }
    });
    let start = timeout(RESTART_TIME, started.recv()).await.unwrap();
    assert_eq!(start, Some(1));
    let ended = timeout(RESTART_TIME, started.recv()).await.unwrap();
    assert_eq!(ended, None, "a task that returns is not started again");
}

//! The end of a process.

use crate::app::App;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

/// Time after SIGTERM in which new requests are taken: callers that keep the address learn of the
/// end by then.
const TAKE_TIME: Duration = Duration::from_millis(2500);
/// Part of the grace in which requests may finish.
const GRACE_PART: f64 = 0.97;
/// Pause between two looks at the requests inside.
const LOOK: Duration = Duration::from_millis(50);

/// How far the end of a process has come.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// Requests are served.
    Serving,
    /// Connections end after their present request; new ones are still served.
    Leaving,
    /// What is inside is finished, and nothing else is taken.
    Finishing,
}

/// Tells connections and listeners of the end.
#[derive(Clone, Debug)]
pub struct Stop(watch::Receiver<Phase>);

impl Stop {
    /// A switch and what it tells.
    pub fn new() -> (watch::Sender<Phase>, Self) {
        let (sender, receiver) = watch::channel(Phase::Serving);
        (sender, Self(receiver))
    }

    /// Whether a phase has come.
    pub fn has_come(&self, phase: Phase) -> bool {
        *self.0.borrow() >= phase
    }

    /// Waits for a phase.
    pub async fn wait(&mut self, phase: Phase) {
        if self.0.wait_for(|present| *present >= phase).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Leaves the directory, takes requests for a while yet, and waits for those inside.
pub async fn drain(app: Arc<App>, stop: watch::Sender<Phase>) {
    let begun = Instant::now();
    app.state().stopping = true;
    app.news.notify_one();
    stop.send_replace(Phase::Leaving);
    log::info!(event = 1702, inside = app.inside.count(); "stopping");
    let grace = app.state().bounds.grace.mul_f64(GRACE_PART);
    loop {
        sleep(LOOK).await;
        let past = begun.elapsed();
        if past >= TAKE_TIME && *stop.borrow() < Phase::Finishing {
            app.state().finishing = true;
            stop.send_replace(Phase::Finishing);
        }
        if past >= grace || (past >= TAKE_TIME && app.inside.count() == 0) {
            break;
        }
    }
    log::info!(event = 1719, inside = app.inside.count(); "stopped");
}

//! Graceful shutdown of a node.

use crate::app::App;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

/// Time after SIGTERM for which new requests are still accepted. Callers that cache the address
/// learn of the shutdown by then.
const LAME_DUCK_TIME: Duration = Duration::from_millis(2500);
/// Fraction of the site's grace period that in-flight requests may use to finish.
const GRACE_RATIO: f64 = 0.97;
/// Time for sending the answers to requests that the end of the grace period has cut.
const FLUSH_TIME: Duration = Duration::from_millis(100);
/// Interval at which the number of in-flight requests is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Progress of a shutdown.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// Requests are served.
    Serving,
    /// Connections close after their current request; new connections are still accepted.
    LameDuck,
    /// The listeners are closed and in-flight requests finish.
    Draining,
}

/// Notifies connections and listeners of the shutdown phase.
#[derive(Clone, Debug)]
pub struct Shutdown(watch::Receiver<Phase>);

impl Shutdown {
    /// Creates a handle along with the sender that sets its phase.
    pub fn new() -> (watch::Sender<Phase>, Self) {
        let (sender, receiver) = watch::channel(Phase::Serving);
        (sender, Self(receiver))
    }

    /// Whether the shutdown has reached a phase.
    pub fn has_reached(&self, phase: Phase) -> bool {
        *self.0.borrow() >= phase
    }

    /// Waits until the shutdown reaches a phase.
    pub async fn wait(&mut self, phase: Phase) {
        if self.0.wait_for(|current| *current >= phase).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Removes the node from the directory, keeps accepting requests for a while, and then waits until
/// those in flight have their responses and callers have read them. At the end of the grace period,
/// those without an answer get one.
pub async fn drain(app: Arc<App>, phase: watch::Sender<Phase>) {
    let started = Instant::now();
    app.state().stopping = true;
    app.heartbeat_requested.notify_one();
    phase.send_replace(Phase::LameDuck);
    log::info!(event = 1702, inside = app.in_flight.count(); "stopping");
    let grace = app.state().bounds.grace.mul_f64(GRACE_RATIO);
    loop {
        sleep(POLL_INTERVAL).await;
        let elapsed = started.elapsed();
        if elapsed >= LAME_DUCK_TIME && *phase.borrow() < Phase::Draining {
            app.state().draining = true;
            phase.send_replace(Phase::Draining);
        }
        // Connections close after their current response, so those that are left are still written. Tunnels
        // carry requests of other nodes.
        let in_use = app.in_flight.count() + app.connections.count() + app.tunnels.count();
        if elapsed >= grace || (elapsed >= LAME_DUCK_TIME && in_use == 0) {
            break;
        }
    }
    let cut = app.in_flight.count();
    if cut > 0 {
        app.grace_over.notify_waiters();
        sleep(FLUSH_TIME).await;
    }
    log::info!(event = 1719, inside = cut, unwritten = app.connections.count(), tunnels = app.tunnels.count(); "stopped");
}

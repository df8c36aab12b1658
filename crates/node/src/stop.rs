//! Graceful shutdown: the node first withdraws its address from callers, then finishes requests,
//! then ends the process.

use crate::app::App;
use rocket::Shutdown;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{sleep, timeout};

/// Exit status after a second signal, as a shell reports SIGINT.
const INTERRUPTED: i32 = 130;

/// Delay added to the time to live of `/v1/entries` responses before new requests are refused.
const NOTICE_MARGIN: Duration = Duration::from_millis(500);

/// Signals that stop a node.
pub(crate) struct Signals {
    interrupt: Signal,
    terminate: Signal,
}

impl Signals {
    /// Listens for SIGINT and SIGTERM.
    pub(crate) fn new() -> io::Result<Self> {
        Ok(Self {
            interrupt: signal(SignalKind::interrupt())?,
            terminate: signal(SignalKind::terminate())?,
        })
    }

    async fn recv(&mut self) {
        tokio::select! {
            _ = self.interrupt.recv() => {}
            _ = self.terminate.recv() => {}
        }
    }
}

/// Waits for a signal, then stops the node, giving requests in flight the drain time to finish. A
/// second signal ends the process at once.
pub(crate) async fn stop(app: Arc<App>, mut signals: Signals, shutdown: Shutdown) {
    signals.recv().await;
    log::info!(event = 1002; "node is stopping");
    tokio::spawn(async move {
        signals.recv().await;
        std::process::exit(INTERRUPTED);
    });
    app.leave().await;
    sleep(app.settings.entries_ttl + NOTICE_MARGIN).await;
    app.tracker().close();
    if timeout(app.settings.drain, app.tracker().wait_idle())
        .await
        .is_err()
    {
        let inside = app.tracker().in_flight();
        log::warn!(event = 1005, inside; "requests still in flight at the end of the drain time");
    }
    app.close().await;
    shutdown.notify();
}

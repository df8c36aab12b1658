//! Tasks that run for as long as the node does.

use crate::app::App;
use crate::metrics;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Pause before a task that has panicked starts again.
const RESTART_PAUSE: Duration = Duration::from_millis(200);

/// Spawns a task and starts it again whenever it panics. A node whose task has ended unseen would go
/// on serving what it knew.
pub fn supervise<F>(
    app: &Arc<App>,
    name: &'static str,
    start: impl Fn(Arc<App>) -> F + Send + 'static,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let app = Arc::clone(app);
    tokio::spawn(async move {
        while let Err(error) = tokio::spawn(start(Arc::clone(&app))).await {
            let label = metrics::Task { name };
            app.metrics.task_restarts.get_or_create(&label).inc();
            log::error!(event = 1799, task = name; "task panicked, starting it again: {error}");
            sleep(RESTART_PAUSE).await;
        }
    });
}

//! Asks every node again and again what it has in force.

use super::Fleet;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

const PAUSE: Duration = Duration::from_millis(250);

/// Running questions; they end when this is dropped.
#[derive(Debug)]
pub struct Watch {
    tasks: Vec<JoinHandle<()>>,
}

impl Watch {
    /// Starts one task for each node.
    pub fn start(fleet: &Fleet) -> Self {
        let tasks = fleet.nodes.iter().map(|node| {
            let name = node.name.clone();
            let url = format!("http://{}", node.http);
            let operator = fleet.operator.clone();
            let log = Arc::clone(&fleet.log);
            tokio::spawn(async move {
                loop {
                    if let Ok(reading) = operator.read(&name, &url).await {
                        log.reading(reading);
                    }
                    tokio::time::sleep(PAUSE).await;
                }
            })
        });
        let tasks = tasks.collect();
        Self { tasks }
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

//! Memory of the node with streams open.

use super::load::{Target, send};
use super::site::Site;
use futures::StreamExt;
use serde::Serialize;
use standin::Error;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

const OPEN_LIMIT: Duration = Duration::from_secs(15);
/// Time between two streams that are opened.
const OPEN_PAUSE: Duration = Duration::from_millis(2);
/// Time after which memory is read.
const SETTLE: Duration = Duration::from_millis(500);

/// Memory with streams open.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Open {
    /// Streams.
    pub streams: u32,
    /// Resident memory.
    pub memory_mib: f64,
}

/// Reads the node's memory before any stream and at each count of streams, up to the first count
/// at which a stream doesn't begin.
pub async fn memory(site: &Site, counts: &[u32]) -> Result<Vec<Open>, Error> {
    let target = site.slow_streams();
    let (opened, mut wait) = mpsc::unbounded_channel();
    let mut readers = JoinSet::new();
    let mut found = Vec::new();
    let mut open = 0;
    for count in [0].iter().chain(counts) {
        let missing = count.saturating_sub(open);
        for _ in 0..missing {
            readers.spawn(read(target.clone(), opened.clone()));
            sleep(OPEN_PAUSE).await;
        }
        for _ in 0..missing {
            let first = timeout(OPEN_LIMIT, wait.recv()).await;
            if !matches!(first, Ok(Some(true))) {
                eprintln!("{count} streams: {first:?} in place of a first byte");
                return Ok(found);
            }
        }
        open += missing;
        sleep(SETTLE).await;
        let memory_mib = site.memory_mib()?;
        found.push(Open {
            streams: open,
            memory_mib,
        });
    }
    Ok(found)
}

/// Reads a stream to its end; tells when its first byte has come, or that none did.
async fn read(target: Target, opened: mpsc::UnboundedSender<bool>) {
    let Some(response) = send(&target, true, None).await else {
        let _ = opened.send(false);
        return;
    };
    let mut body = response.bytes_stream();
    let first = body.next().await.is_some_and(|part| part.is_ok());
    let _ = opened.send(first);
    while let Some(Ok(_)) = body.next().await {}
}

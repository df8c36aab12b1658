//! Reads missing revisions from the table.

use super::{Error, Replica};
use clients::Table;
use contract::{Config, Revision};
use std::convert::Infallible;
use std::time::{Duration, Instant};
use tokio::time::{MissedTickBehavior, interval};
use wire::Delta;

/// One in this many consecutive failed reads is logged.
const FAILURES_PER_WARNING: u32 = 40;
/// Maximum delay between reads during an outage.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

impl<T: Table> Replica<T> {
    /// Polls the head while this node is the reader of its zone.
    pub(super) async fn poll(&self) {
        let mut ticks = interval(self.settings.poll_interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut failures = 0u32;
        loop {
            ticks.tick().await;
            if !self.view().is_reader(Instant::now()) {
                continue;
            }
            match self.catch_up().await {
                Ok(_) => failures = 0,
                Err(error) => {
                    if failures.is_multiple_of(FAILURES_PER_WARNING) {
                        log::warn!(event = 1202; "failed to read the head: {error}");
                    }
                    failures += 1;
                    // Backs off during an outage, with jitter so that the readers of all zones don't
                    // call at once when it ends.
                    tokio::time::sleep(backoff(self.settings.poll_interval, failures)).await;
                }
            }
        }
    }

    /// Reads the head and applies the missing revisions. Returns the revision now applied.
    pub(super) async fn catch_up(&self) -> Result<Revision, Error> {
        let started = Instant::now();
        let head = self.count_read(self.log.head().await)?;
        if self.config().revision() == 0 && head > 0 {
            self.load_config(head).await?;
        }
        while self.config().revision() < head {
            let deltas = self.log.revisions_after(self.config().revision()).await;
            let deltas = self.count_read(deltas)?;
            let applied = self.config().revision();
            let is_gap = |delta: &Delta| delta.revision > applied + 1;
            if applied < head && deltas.first().is_none_or(is_gap) {
                self.load_config(head).await?;
                break;
            }
            for delta in &deltas {
                self.publish(delta)?;
            }
        }
        let Ok(()) = self.update(|view| {
            Ok::<_, Infallible>(view.record_head_read(head, started, Instant::now()))
        });
        Ok(self.config().revision())
    }

    /// Reads the whole configuration from the table.
    async fn load_config(&self, head: Revision) -> Result<(), Error> {
        let mut config = self.count_read(self.log.objects(head).await)?;
        // Objects may be newer than the head that was read before them, so the revisions up to the
        // current head are applied on top.
        let head = self.count_read(self.log.head().await)?;
        let mut last = self.count_read(self.log.revision(config.revision()).await)?;
        while config.revision() < head {
            for delta in self.count_read(self.log.revisions_after(config.revision()).await)? {
                apply_delta(&mut config, &delta)?;
                last = delta;
            }
        }
        let Ok(()) = self.update(|view| {
            view.restore(config, last);
            Ok::<_, Infallible>(view.announce(Instant::now()))
        });
        Ok(())
    }

    pub(super) fn count_read<A>(&self, result: Result<A, Error>) -> Result<A, Error> {
        self.reads
            .fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        result
    }
}

fn apply_delta(config: &mut Config, delta: &Delta) -> Result<(), Error> {
    let entries: Vec<_> = delta
        .entries
        .iter()
        .map(|entry| (entry.key.as_str(), entry.body.as_deref()))
        .collect();
    Ok(config.apply(delta.revision, &entries)?)
}

fn backoff(poll: Duration, failures: u32) -> Duration {
    let wait = poll * failures.min(16);
    wait.min(MAX_BACKOFF)
        .mul_f64(0.5 + rand::random::<f64>() / 2.0)
}

//! Requests that lost their backend servers.

use limits::poison::Part;
use limits::suspect::Fingerprint;
use route::ServerId;
use std::time::{Duration, Instant};

/// Time within which the end of a backend server explains a lost request: three missed heartbeats
/// at the usual interval, plus some margin.
const CRASH_WINDOW: Duration = Duration::from_secs(6);
/// Maximum number of lost requests remembered for that.
const MAX_LOSSES: usize = 512;

/// A request that lost its backend server.
#[derive(Clone, Debug)]
pub struct Loss {
    /// Digest of the request.
    pub fingerprint: Fingerprint,
    /// Parts of its prompt that other requests may share; none if its answer had begun.
    pub parts: Vec<Part>,
    /// The backend server.
    pub server: ServerId,
    /// Start of the backend server, as a Unix time in milliseconds.
    pub started_ms: u64,
    /// When the request was lost.
    pub at: Instant,
}

/// Requests that lost their backend servers of late.
#[derive(Debug, Default)]
pub struct Losses(Vec<Loss>);

impl Losses {
    /// Records a request that lost its backend server.
    pub fn record(&mut self, loss: Loss) {
        let now = loss.at;
        self.0.retain(|loss| loss.is_recent(now));
        if self.0.len() < MAX_LOSSES {
            self.0.push(loss);
        }
    }

    /// Takes the requests that a backend server which has ended just lost.
    pub fn take(&mut self, now: Instant, server: &str) -> Vec<Loss> {
        let lost = |loss: &mut Loss| loss.server == server && loss.is_recent(now);
        self.0.extract_if(.., lost).collect()
    }
}

impl Loss {
    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < CRASH_WINDOW
    }
}

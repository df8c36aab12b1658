//! Evidence of this node's direct path to backend servers, and what follows from its loss.

use super::{App, State};
use route::member::Member;
use route::reach::{Change, Detour, Failure, Path, Reach};
use route::server::Listing;
use std::time::Instant;

/// Nodes that a connection is tried through.
const MAX_HELPERS: usize = 2;

impl State {
    /// Whether this node has lost its path to backend servers and other nodes carry its connections.
    /// Its own failures then say nothing of the backend servers. Without other nodes it makes no
    /// difference whether the path or all backend servers are down.
    pub fn is_cut(&self, now: Instant) -> bool {
        self.reach.path() == Path::Lost && self.members.reaching(now).next().is_some()
    }
}

impl App {
    /// Records that a direct connection was established.
    pub fn record_connect(&self) {
        self.record_success(Reach::record_connect);
    }

    /// Records a response on a direct connection that was opened at the given time.
    pub fn record_direct_response(&self, opened: Instant) {
        self.record_success(|reach, now| reach.record_response(now, opened));
    }

    /// Records a probe that succeeded.
    pub fn record_probe(&self) {
        self.record_success(Reach::record_success);
    }

    fn record_success(&self, record: impl FnOnce(&mut Reach, Instant) -> Option<Change>) {
        let now = Instant::now();
        let mut state = self.state();
        let lost_since = state.reach.lost_since();
        let change = record(&mut state.reach, now);
        drop(state);
        if let (Some(Change::Restored), Some(since)) = (change, lost_since) {
            let lost_ms = now.saturating_duration_since(since).as_millis() as u64;
            log::warn!(event = 1776, lost_ms = lost_ms; "direct path to backend servers restored");
            self.heartbeat_requested.notify_one();
        }
    }

    /// Records a direct connection that failed; `is_probe` tells whether it was made for this evidence
    /// only.
    pub fn record_failed_connection(&self, server: &str, failure: Failure, is_probe: bool) {
        let now = Instant::now();
        let mut state = self.state();
        let listed = state.pool.open_count();
        let reach = &mut state.reach;
        let change = match is_probe {
            true => reach.record_failed_probe(now, server, failure, listed),
            false => reach.record_failure(now, server, failure, listed),
        };
        let failed = reach.failed_count();
        let is_silent = reach.is_silent();
        self.probe_requested.notify_one();
        let Some(Change::Lost(last_success)) = change else {
            return;
        };
        state.pool.reset_failures(last_success);
        let helpers = state.members.reaching(now).count();
        drop(state);
        let idle = last_success.map(|at| now.saturating_duration_since(at).as_millis() as u64);
        log::warn!(event = 1775, servers = failed, listed = listed, silent = is_silent, helpers = helpers,
            last_success_ms = idle.unwrap_or(0); "direct path to backend servers lost");
        self.path_lost.notify_waiters();
        self.capacity_changed.notify_waiters();
        self.heartbeat_requested.notify_one();
    }

    /// Chooses the nodes through which to connect to a backend server, in the order to try.
    pub fn helpers(&self, server: &Listing) -> Vec<Member> {
        let detour = Detour {
            zones: [&self.site.zone, &server.zone],
            draw: rand::random(),
            limit: MAX_HELPERS,
        };
        let state = self.state();
        let members = state.members.reaching(Instant::now());
        detour.resolve(members).into_iter().cloned().collect()
    }
}

//! Feeds link events and timer ticks to the view.

use super::Replica;
use crate::link::Event;
use clients::Table;
use std::convert::Infallible;
use std::time::{Duration, Instant};
use tokio::time::{MissedTickBehavior, interval};

/// Interval at which missing links are established.
const CONNECT_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which idle links outside the overlay are closed.
const PRUNE_INTERVAL: Duration = Duration::from_secs(2);
/// Timer ticks per heartbeat interval.
const TICKS_PER_HEARTBEAT: u32 = 4;

impl<T: Table> Replica<T> {
    /// Handles the events of all links until the hub is dropped.
    pub(super) async fn handle_link_events(&self) {
        let Some(mut events) = self.hub.take_events() else {
            return;
        };
        while let Some(event) = events.recv().await {
            self.handle_event(event);
        }
    }

    /// Sends heartbeats, establishes missing links and closes idle ones.
    pub(super) async fn run_timers(&self) {
        let mut ticks = interval(self.settings.view.heartbeat / TICKS_PER_HEARTBEAT);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut connected: Option<Instant> = None;
        let mut pruned = Instant::now();
        loop {
            ticks.tick().await;
            let now = Instant::now();
            let Ok(()) = self.update(|view| Ok::<_, Infallible>(view.tick(now)));
            if connected.is_none_or(|at| now - at >= CONNECT_INTERVAL) {
                connected = Some(now);
                self.connect_neighbours();
            }
            if pruned.elapsed() >= PRUNE_INTERVAL {
                pruned = Instant::now();
                self.close_idle_links();
            }
        }
    }

    fn handle_event(&self, event: Event) {
        let now = Instant::now();
        let result = match event {
            Event::Up(peer) => {
                self.update(|view| Ok(view.connect(&peer.node, peer.incarnation, &peer.link, now)))
            }
            Event::Down(node) => self.update(|view| {
                view.disconnect(&node);
                Ok(Vec::new())
            }),
            Event::Frame(node, frame) => self.update(|view| view.receive(&node, &frame, now)),
        };
        if let Err(error) = result {
            log::error!(event = 1203; "failed to apply a revision: {error}");
        }
    }

    fn connect_neighbours(&self) {
        let view = self.view();
        let missing: Vec<_> = view
            .neighbours()
            .into_iter()
            .filter(|member| !self.hub.is_linked(&member.node))
            .map(|member| (member.node.clone(), member.link.clone()))
            .collect();
        drop(view);
        for (node, address) in missing {
            self.hub.connect(&node, address);
        }
        self.connect_seeds();
    }

    fn close_idle_links(&self) {
        let mut view = self.view();
        for node in self.hub.idle_links() {
            if !view.needs_link(&node) && self.hub.close(&node) {
                view.disconnect(&node);
                log::info!(event = 1228; "closed the idle link to {node}");
            }
        }
    }

    /// Connects to the seeds while this node has no configuration.
    fn connect_seeds(&self) {
        let view = self.view();
        if view.revision() > 0 {
            return;
        }
        let seeds = self.settings.seeds.iter();
        let missing: Vec<_> = seeds.filter(|seed| !view.is_linked_at(seed)).collect();
        drop(view);
        for seed in missing {
            self.hub.connect(seed, seed.clone());
        }
    }
}

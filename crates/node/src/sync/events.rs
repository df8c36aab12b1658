//! Driving the view by links and the clock.

use super::Replica;
use crate::link::Event;
use clients::Table;
use std::convert::Infallible;
use std::time::{Duration, Instant};
use tokio::time::{MissedTickBehavior, interval};

/// Interval at which missing links are made.
const CONNECT_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which links that the overlay doesn't need are closed.
const PRUNE_INTERVAL: Duration = Duration::from_secs(2);
/// Parts of the heartbeat interval between two looks at the clock.
const TICKS_PER_HEARTBEAT: u32 = 4;

impl<T: Table> Replica<T> {
    /// Takes in what comes over links.
    pub(super) async fn handle_link_events(&self) {
        let Some(mut events) = self.hub.follow() else {
            return;
        };
        while let Some(event) = events.recv().await {
            self.handle_event(event);
        }
    }

    /// Sends heartbeats and makes links.
    pub(super) async fn run_timers(&self) {
        let mut ticks = interval(self.settings.view.heartbeat / TICKS_PER_HEARTBEAT);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut called: Option<Instant> = None;
        let mut pruned = Instant::now();
        loop {
            ticks.tick().await;
            let now = Instant::now();
            let Ok(()) = self.update(|view| Ok::<_, Infallible>(view.tick(now)));
            if called.is_none_or(|at| now - at >= CONNECT_INTERVAL) {
                called = Some(now);
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
        let taken = match event {
            Event::Up(peer) => {
                self.update(|view| Ok(view.connect(&peer.node, peer.incarnation, &peer.link, now)))
            }
            Event::Down(node) => self.update(|view| {
                view.disconnect(&node);
                Ok(Vec::new())
            }),
            Event::Frame(node, frame) => self.update(|view| view.receive(&node, &frame, now)),
        };
        if let Err(error) = taken {
            log::error!(event = 1203; "revision can't be applied: {error}");
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
        for node in self.hub.idle() {
            if !view.needs_link(&node) && self.hub.close(&node) {
                view.disconnect(&node);
                log::info!(event = 1228; "link to {node} is idle and closed");
            }
        }
    }

    /// A node that knows no configuration yet asks the seeds for it.
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

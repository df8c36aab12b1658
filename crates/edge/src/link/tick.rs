//! Periodic heartbeats and announcements of this node, encoded once for all links.

use super::batch::Batch;
use super::frame::{Frame, encode_presence};
use super::handle::heartbeat;
use crate::app::{App, Notice};
use contract::Map;
use route::relay::{ListId, Presence, Scope};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::sleep;
use tokio_tungstenite::tungstenite::Message;

/// Longest interval between two heartbeats. A node's load crosses up to three links to reach the
/// other nodes, which use it to place requests.
const MAX_INTERVAL: Duration = Duration::from_millis(150);
/// Shortest interval between two heartbeats; changes within it go into one heartbeat.
const MIN_INTERVAL: Duration = Duration::from_millis(40);

/// Time for which announcements are collected into one frame. It is short because a session's next
/// request may reach a node three links away that has yet to learn of its assignment.
const COALESCE_TIME: Duration = Duration::from_millis(25);

/// The last list of nodes for each scope.
type Lists = Map<Scope, (ListId, Vec<Presence>, Message)>;

/// Sends heartbeats to all links, periodically and on request, for as long as the node runs.
pub async fn send_heartbeats(app: Arc<App>) {
    let mut lists = Lists::default();
    loop {
        let requested = app.heartbeat_requested.notified();
        tokio::select! {
            () = sleep(MAX_INTERVAL - MIN_INTERVAL) => (),
            () = requested => (),
        }
        let assignments = app.state().take_sessions_to_announce(Instant::now());
        for assignment in assignments {
            app.announce(Notice::Assignment(assignment));
        }
        // Sending fails only when there are no links.
        let _ = app.batches.send(Arc::new(batch(&app, &mut lists)));
        sleep(MIN_INTERVAL).await;
    }
}

/// Wakes the links to send announcements, as soon as there are some, for as long as the node runs.
pub async fn send_announcements(app: Arc<App>) {
    loop {
        app.announcement_queued.notified().await;
        sleep(COALESCE_TIME).await;
        // Sending fails only when there are no links.
        let _ = app.batches.send(Arc::default());
    }
}

fn batch(app: &App, lists: &mut Lists) -> Batch {
    let now = Instant::now();
    let roles = app.state().relays.roles(now);
    let mut batch = Batch::default();
    for role in roles {
        if let Some(message) = heartbeat(app, now, role).encode() {
            batch.heartbeats.insert(role, message);
        }
        if role.scope != Scope::Own
            && !batch.presences.contains_key(&role.scope)
            && let Some(list) = list(app, now, role.scope, lists)
        {
            batch.presences.insert(role.scope, list);
        }
    }
    batch
}

/// Encodes the list of nodes for a scope; an unchanged list keeps its id and message.
fn list(app: &App, now: Instant, scope: Scope, lists: &mut Lists) -> Option<(ListId, Message)> {
    let presences = {
        let state = app.state();
        let advertised = state.relays.advertised(now, scope);
        state.members.presences(now, advertised)
    };
    let known = lists.get(&scope);
    if let Some((id, _, message)) = known.filter(|(_, known, _)| *known == presences) {
        return Some((*id, message.clone()));
    }
    let id = known.map_or(1, |(id, ..)| id + 1);
    let message = Frame::Presences(presences.iter().map(encode_presence).collect()).encode()?;
    lists.insert(scope, (id, presences, message.clone()));
    Some((id, message))
}

//! The heartbeats of this node, built once for all links.

use super::frame::{Frame, encode_presence};
use super::batch::{ListId, Batch};
use super::handle::heartbeat;
use crate::app::{App, Notice};
use contract::Map;
use route::relay::{Presence, Scope};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::sleep;
use tokio_tungstenite::tungstenite::Message;

/// Time between two heartbeats: the work of a node is told over three links at most, and nodes place by it.
const INTERVAL: Duration = Duration::from_millis(150);
/// Shortest time between two heartbeats, in which news gather.
const SHORTEST_INTERVAL: Duration = Duration::from_millis(40);

/// Time in which announcements gather. A session's next request may come to a node that has yet
/// to hear of it, three links away.
const GATHER: Duration = Duration::from_millis(25);

/// The last list of nodes of each scope.
type Lists = Map<Scope, (ListId, Vec<Presence>, Message)>;

/// Gives heartbeats to all links, from time to time and on news, for as long as the node runs.
pub async fn send_heartbeats(app: Arc<App>) {
    let mut lists = Lists::default();
    loop {
        let news = app.heartbeat_requested.notified();
        tokio::select! {
            () = sleep(INTERVAL - SHORTEST_INTERVAL) => (),
            () = news => (),
        }
        let recalled = app.state().take_sessions_to_announce(Instant::now());
        for assignment in recalled {
            app.announce(Notice::Assignment(assignment));
        }
        // An error says that there are no links.
        let _ = app.batches.send(Arc::new(batch(&app, &mut lists)));
        sleep(SHORTEST_INTERVAL).await;
    }
}

/// Lets the links pass announcements on, as soon as there are some.
pub async fn send_announcements(app: Arc<App>) {
    loop {
        app.announcement_queued.notified().await;
        sleep(GATHER).await;
        // An error says that there are no links.
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

/// Whom the node has heard of, and the number of the list.
fn list(app: &App, now: Instant, scope: Scope, lists: &mut Lists) -> Option<(ListId, Message)> {
    let presences = {
        let state = app.state();
        let named = state.relays.named(now, scope);
        state.members.presences(now, named)
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

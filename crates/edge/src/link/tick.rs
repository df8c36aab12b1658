//! The beats of this node, built once for all links.

use super::frame::{Frame, encode_head};
use super::round::{ListId, Round};
use super::serve::beat;
use crate::app::{App, What};
use contract::Map;
use route::relay::{Head, Scope};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::sleep;
use tokio_tungstenite::tungstenite::Message;

/// Time between two beats: the work of a node is told over three links at most, and nodes place by it.
const BEAT: Duration = Duration::from_millis(150);
/// Shortest time between two beats, in which news gather.
const SHORTEST_BEAT: Duration = Duration::from_millis(40);

/// Time in which words for all nodes gather. A session's next request may come to a node that has yet
/// to hear of it, three links away.
const GATHER: Duration = Duration::from_millis(25);

/// The last list of nodes of each scope.
type Lists = Map<Scope, (ListId, Vec<Head>, Message)>;

/// Gives beats to all links, from time to time and on news, for as long as the node runs.
pub async fn tick(app: Arc<App>) {
    let mut lists = Lists::default();
    loop {
        let news = app.news.notified();
        tokio::select! {
            () = sleep(BEAT - SHORTEST_BEAT) => (),
            () = news => (),
        }
        let recalled = app.state().take_recalled(Instant::now());
        for stay in recalled {
            app.tell_own(What::Stay(stay));
        }
        // An error says that there are no links.
        let _ = app.rounds.send(Arc::new(round(&app, &mut lists)));
        sleep(SHORTEST_BEAT).await;
    }
}

/// Lets the links tell what each node is to hear once, as soon as there is something.
pub async fn tick_words(app: Arc<App>) {
    loop {
        app.words.notified().await;
        sleep(GATHER).await;
        // An error says that there are no links.
        let _ = app.rounds.send(Arc::default());
    }
}

fn round(app: &App, lists: &mut Lists) -> Round {
    let now = Instant::now();
    let signs = app.state().relays.signs(now);
    let mut round = Round::default();
    for sign in signs {
        if let Some(message) = beat(app, now, sign).encode() {
            round.beats.insert(sign, message);
        }
        if sign.scope != Scope::Own
            && !round.heads.contains_key(&sign.scope)
            && let Some(list) = list(app, now, sign.scope, lists)
        {
            round.heads.insert(sign.scope, list);
        }
    }
    round
}

/// Whom the node has heard of, and the number of the list.
fn list(app: &App, now: Instant, scope: Scope, lists: &mut Lists) -> Option<(ListId, Message)> {
    let heads = {
        let state = app.state();
        let named = state.relays.named(now, scope);
        state.members.heads(now, named)
    };
    let known = lists.get(&scope);
    if let Some((id, _, message)) = known.filter(|(_, known, _)| *known == heads) {
        return Some((*id, message.clone()));
    }
    let id = known.map_or(1, |(id, ..)| id + 1);
    let message = Frame::Heads(heads.iter().map(encode_head).collect()).encode()?;
    lists.insert(scope, (id, heads, message.clone()));
    Some((id, message))
}

//! The beat of this node, built once for all links.

use super::serve::{Words, beat};
use crate::app::App;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Time between two beats: several fit into the silence after which a node counts as gone.
const BEAT: Duration = Duration::from_millis(300);
/// What each other node adds to that, since each beat goes to all of them.
const BEAT_PER_NODE: Duration = Duration::from_micros(2200);
/// Longest time between two beats.
const LONGEST_BEAT: Duration = Duration::from_millis(500);
/// Shortest time between two beats, in which news gather.
const SHORTEST_BEAT: Duration = Duration::from_millis(40);

/// Gives a beat to all links, from time to time and on news, for as long as the node runs.
pub async fn tick(app: Arc<App>) {
    let mut told = app.told.subscribe();
    loop {
        let news = app.news.notified();
        tokio::select! {
            () = sleep(pause(&app)) => (),
            () = news => (),
        }
        let words = Words::news(&app, &mut told);
        if let Some(message) = beat(&app, words).encode() {
            // An error says that there are no links.
            let _ = app.beats.send(message);
        }
        sleep(SHORTEST_BEAT).await;
    }
}

/// Time to the next beat.
fn pause(app: &App) -> Duration {
    let nodes = app.state().members.all().count() as u32;
    (BEAT + BEAT_PER_NODE * nodes).min(LONGEST_BEAT) - SHORTEST_BEAT
}

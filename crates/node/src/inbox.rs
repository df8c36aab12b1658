//! Dispatch of frames received from other nodes.

use crate::app::App;
use crate::link::Received;
use contract::{Incarnation, Map, NodeId, Owner};
use std::sync::Arc;
use tokio::sync::broadcast::error::RecvError;
use wire::Frame;

/// Dispatches received frames until the hub is closed.
pub(crate) async fn run(app: Arc<App>) {
    let mut frames = app.hub.subscribe();
    let mut incarnations = Map::default();
    loop {
        match frames.recv().await {
            Ok(received) => {
                detect_restart(&app, &mut incarnations, &received);
                dispatch(&app, &received);
            }
            Err(RecvError::Lagged(missed)) => {
                log::warn!(event = 1210, missed; "receive queue overflowed, frames were dropped");
            }
            Err(RecvError::Closed) => return,
        }
    }
}

/// Detects a peer that has restarted: it has lost the copies of bills that it held, so they have
/// to be sent again.
fn detect_restart(app: &App, incarnations: &mut Map<NodeId, Incarnation>, received: &Received) {
    let previous = incarnations.insert(received.from.clone(), received.incarnation);
    if previous.is_some_and(|incarnation| incarnation != received.incarnation) {
        app.bills.reconnected(&received.from);
    }
}

fn dispatch(app: &App, received: &Received) {
    let from = Owner::new(&received.from, received.incarnation);
    app.slots.handle_frame(app, &from, &received.frame);
    app.bills.incoming(app, &from, &received.frame);
    match &received.frame {
        Frame::Ratings(ratings) => app.scheduler.merge_ratings(ratings.clone()),
        Frame::Suspect(suspect) => app.record_peer_crash(suspect),
        _ => {}
    }
}

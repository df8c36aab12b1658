//! Hands the frames of other nodes to the parts that they are for.

use crate::app::App;
use crate::link::Received;
use contract::{Incarnation, Map, NodeId, Owner};
use std::sync::Arc;
use tokio::sync::broadcast::error::RecvError;
use wire::Frame;

/// Reads frames for as long as the node runs.
pub(crate) async fn run(app: Arc<App>) {
    let mut frames = app.hub.subscribe();
    let mut starts = Map::default();
    loop {
        match frames.recv().await {
            Ok(received) => {
                meet(&app, &mut starts, &received);
                deliver(&app, &received);
            }
            Err(RecvError::Lagged(missed)) => {
                log::warn!(event = 1210, missed; "frames of peers were missed");
            }
            Err(RecvError::Closed) => return,
        }
    }
}

/// A peer that has started again has lost the bills that it held.
fn meet(app: &App, starts: &mut Map<NodeId, Incarnation>, received: &Received) {
    let before = starts.insert(received.from.clone(), received.incarnation);
    if before.is_some_and(|start| start != received.incarnation) {
        app.bills.reconnected(&received.from);
    }
}

fn deliver(app: &App, received: &Received) {
    let from = Owner::new(&received.from, received.incarnation);
    app.slots.handle_frame(app, &from, &received.frame);
    app.bills.incoming(app, &from, &received.frame);
    match &received.frame {
        Frame::Ratings(ratings) => app.scheduler.merge_ratings(ratings.clone()),
        Frame::Suspect(suspect) => app.record_peer_crash(suspect),
        _ => {}
    }
}

//! Hands the frames of other nodes to the parts that they are for.

use crate::app::App;
use std::sync::Arc;
use tokio::sync::broadcast::error::RecvError;
use wire::Frame;

/// Reads frames for as long as the node runs.
pub(crate) async fn run(app: Arc<App>) {
    let mut frames = app.hub.subscribe();
    loop {
        match frames.recv().await {
            Ok(received) => deliver(&app, &received.frame),
            Err(RecvError::Lagged(missed)) => {
                log::warn!(event = 1210, missed; "frames of peers were missed");
            }
            Err(RecvError::Closed) => return,
        }
    }
}

fn deliver(app: &App, frame: &Frame) {
    match frame {
        Frame::Ratings(ratings) => app.decide.incoming(ratings.clone()),
        Frame::Suspect(suspect) => app.suspected(suspect),
        _ => {}
    }
}

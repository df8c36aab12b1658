//! Destination of the runs reported by a backend server.

use super::Run;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::mpsc;

/// Records runs in a list in the same process or sends them to a journal server.
#[derive(Clone, Debug)]
pub enum Recorder {
    /// List in this process.
    Local(Arc<Mutex<Vec<Run>>>),
    /// Queue of runs to be sent to a journal server.
    Remote(mpsc::UnboundedSender<Run>),
}

impl Default for Recorder {
    fn default() -> Self {
        Self::Local(Arc::default())
    }
}

impl Recorder {
    /// Creates a recorder that sends runs to a journal server over HTTP, in order. Runs that are
    /// queued while a request is in flight are sent together in the next one. A failed request is
    /// logged and its runs are lost.
    pub fn remote(url: &str) -> Self {
        let (sender, mut queue) = mpsc::unbounded_channel::<Run>();
        let url = format!("{url}/journal");
        tokio::spawn(async move {
            let client = reqwest::Client::new();
            while let Some(run) = queue.recv().await {
                let mut runs = vec![run];
                while let Ok(run) = queue.try_recv() {
                    runs.push(run);
                }
                if let Err(error) = client.post(&url).json(&runs).send().await {
                    log::warn!("journal: {error}");
                }
            }
        });
        Self::Remote(sender)
    }

    /// Records a run.
    ///
    /// ```
    /// use standin::journal::{Recorder, Run};
    /// let recorder = Recorder::default();
    /// recorder.record(Run::default());
    /// assert_eq!(recorder.runs().len(), 1);
    /// ```
    pub fn record(&self, run: Run) {
        match self {
            Self::Local(runs) => {
                let mut runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
                runs.push(run);
            }
            Self::Remote(sender) => {
                let _ = sender.send(run);
            }
        }
    }

    /// Returns the runs recorded in this process; empty for a remote recorder.
    pub fn runs(&self) -> Vec<Run> {
        match self {
            Self::Local(runs) => runs.lock().unwrap_or_else(PoisonError::into_inner).clone(),
            Self::Remote(_) => Vec::new(),
        }
    }
}

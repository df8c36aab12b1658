//! Where a backend server reports its runs.

use super::Run;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::mpsc;

/// Reports runs to a list in the same process or to a journal elsewhere.
#[derive(Clone, Debug)]
pub enum Recorder {
    /// The list itself.
    Local(Arc<Mutex<Vec<Run>>>),
    /// Queue towards the URL of a journal.
    Remote(mpsc::UnboundedSender<Run>),
}

impl Default for Recorder {
    fn default() -> Self {
        Self::Local(Arc::default())
    }
}

impl Recorder {
    /// Reports to a journal over HTTP, in order.
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

    /// Reports one run.
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

    /// Runs recorded in this process.
    pub fn runs(&self) -> Vec<Run> {
        match self {
            Self::Local(runs) => runs.lock().unwrap_or_else(PoisonError::into_inner).clone(),
            Self::Remote(_) => Vec::new(),
        }
    }
}

//! Recent revisions, retained for nodes that lag behind.

use contract::Revision;
use std::collections::VecDeque;
use wire::Delta;

/// Maximum number of retained revisions.
const CAPACITY: usize = 512;
/// Maximum number of revisions sent in response to one fetch.
const MAX_DELTAS_PER_FETCH: usize = 64;

/// Consecutive recent revisions; the last one is the newest applied.
#[derive(Debug, Default)]
pub(crate) struct History {
    deltas: VecDeque<Delta>,
}

impl History {
    pub(crate) fn push(&mut self, delta: Delta) {
        if self.deltas.len() == CAPACITY {
            self.deltas.pop_front();
        }
        self.deltas.push_back(delta);
    }

    pub(crate) fn reset(&mut self, last: Delta) {
        self.deltas.clear();
        self.deltas.push_back(last);
    }

    pub(crate) fn last(&self) -> Option<&Delta> {
        self.deltas.back()
    }

    /// The revisions after `revision`; `None` if some of them are no longer retained.
    pub(crate) fn after(&self, revision: Revision) -> Option<impl Iterator<Item = &Delta>> {
        let first = self.deltas.front()?.revision;
        let skip = usize::try_from((revision + 1).checked_sub(first)?).ok()?;
        Some(self.deltas.iter().skip(skip).take(MAX_DELTAS_PER_FETCH))
    }
}

//! Recent revisions, kept for nodes that lag.

use contract::Revision;
use std::collections::VecDeque;
use wire::Delta;

/// Most revisions kept.
const MAX_KEPT: usize = 512;
/// Most revisions in one answer.
const MAX_ANSWER: usize = 64;

/// Recent revisions without gaps; the last is the newest applied.
#[derive(Debug, Default)]
pub(crate) struct History {
    deltas: VecDeque<Delta>,
}

impl History {
    pub(crate) fn push(&mut self, delta: Delta) {
        if self.deltas.len() == MAX_KEPT {
            self.deltas.pop_front();
        }
        self.deltas.push_back(delta);
    }

    pub(crate) fn restart(&mut self, last: Delta) {
        self.deltas.clear();
        self.deltas.push_back(last);
    }

    pub(crate) fn last(&self) -> Option<&Delta> {
        self.deltas.back()
    }

    /// Revisions after one; none when they aren't all kept.
    pub(crate) fn after(&self, revision: Revision) -> Option<impl Iterator<Item = &Delta>> {
        let first = self.deltas.front()?.revision;
        let skip = usize::try_from((revision + 1).checked_sub(first)?).ok()?;
        Some(self.deltas.iter().skip(skip).take(MAX_ANSWER))
    }
}

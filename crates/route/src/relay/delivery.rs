//! Lists of nodes that are sent over a link.

use super::Scope;
use std::time::{Duration, Instant};

/// Version of a list of nodes; it changes with the list.
pub type ListId = u64;

/// Time after which a list that no longer applies is cleared. Nodes of earlier versions count it until
/// then, and mark its nodes as lost at once when it is cleared: by that time other relays report them.
const CLEAR_DELAY: Duration = Duration::from_millis(1300);

/// What to send over a link so that the other node holds the current list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// The other node holds the current list.
    Keep,
    /// Send the current list.
    Replace,
    /// Send an empty list.
    Clear,
}

/// The list of nodes that the other node of a link was sent last.
///
/// ```
/// use route::relay::{Delivery, Scope, Step};
/// use std::time::Instant;
///
/// let now = Instant::now();
/// let mut delivery = Delivery::default();
/// assert_eq!(delivery.advance(now, Scope::Group, Some(1)), Step::Replace);
/// assert_eq!(delivery.advance(now, Scope::Group, Some(1)), Step::Keep);
/// assert_eq!(delivery.advance(now, Scope::Group, Some(2)), Step::Replace);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Delivery {
    sent: Option<(Scope, ListId)>,
    /// Since when this node reports only itself over the link.
    own_since: Option<Instant>,
}

impl Delivery {
    /// Returns what to send next; `list` is the current list of the scope, if there is one. The caller
    /// has to send it, or to close the link.
    pub fn advance(&mut self, now: Instant, scope: Scope, list: Option<ListId>) -> Step {
        if scope == Scope::Own {
            return self.clear(now);
        }
        self.own_since = None;
        let current = list.map(|id| (scope, id));
        if current.is_none() || current == self.sent {
            return Step::Keep;
        }
        self.sent = current;
        Step::Replace
    }

    fn clear(&mut self, now: Instant) -> Step {
        let since = *self.own_since.get_or_insert(now);
        if self.sent.is_none() || now.saturating_duration_since(since) < CLEAR_DELAY {
            return Step::Keep;
        }
        self.sent = None;
        Step::Clear
    }
}

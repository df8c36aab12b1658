//! Joining and leaving.

use super::{Error, Replica};
use clients::Table;
use contract::{Member, Object};
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::sleep;
use wire::{Entry, Frame, Leave};

/// Wait between two looks at the own membership.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Longest wait before a join that failed is tried again.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

impl<T: Table> Replica<T> {
    /// Joins, and joins again when others have removed this node.
    pub(super) async fn maintain_membership(&self) {
        loop {
            let should_join = !self.joined() && !self.leaving.load(Ordering::SeqCst);
            if !should_join || self.is_superseded() {
                sleep(CHECK_INTERVAL).await;
                continue;
            }
            match self.join().await {
                Ok(()) => log::info!(event = 1205; "joined as {}", self.settings.member.node),
                Err(error) => {
                    log::debug!(event = 1206; "not joined yet: {error}");
                    sleep(MAX_RETRY_DELAY.mul_f64(rand::random())).await;
                }
            }
        }
    }

    /// Marks this node as leaving, on links at once and in the log, so that nobody sends it new
    /// work. During an outage of the platform only the links tell.
    pub async fn announce_leaving(&self) -> Result<(), Error> {
        self.leaving.store(true, Ordering::SeqCst);
        self.hub.broadcast(&Frame::Leave(Leave {
            incarnation: self.incarnation(),
            node: self.settings.member.node.clone(),
        }));
        if !self.joined() {
            return Ok(());
        }
        let leaving = Member {
            leaving: true,
            ..self.settings.member.clone()
        };
        self.change_membership("leaving", Some(leaving)).await
    }

    /// Takes this node out of the members, once its work has ended.
    pub async fn deregister(&self) -> Result<(), Error> {
        self.leaving.store(true, Ordering::SeqCst);
        if !self.joined() {
            return Ok(());
        }
        self.change_membership("left", None).await
    }

    /// A later start of this node is a member, so this one must not take its place.
    fn is_superseded(&self) -> bool {
        let member = &self.settings.member;
        let known = self.view().incarnation(&member.node);
        let is_superseded = known.is_some_and(|known| known > member.incarnation);
        if is_superseded {
            log::error!(event = 1207; "a later start of {} is a member: is the clock right?", member.node);
        }
        is_superseded
    }

    async fn join(&self) -> Result<(), Error> {
        self.catch_up().await?;
        if self.joined() {
            return Ok(());
        }
        let member = self.settings.member.clone();
        self.change_membership("join", Some(member)).await
    }

    async fn change_membership(&self, action: &str, member: Option<Member>) -> Result<(), Error> {
        let node = &self.settings.member.node;
        let object = member.map(Object::Member);
        let entry = Entry {
            key: format!("member/{node}"),
            body: object.and_then(|object| serde_json::to_string(&object).ok()),
        };
        // A node that was removed and returns needs another change id for each time it joins.
        let base = self.config().revision();
        let change = format!("{action}/{node}/{}/{base}", self.incarnation());
        match self.propose(change, Some(base), vec![entry]).await {
            Ok(_) | Err(Error::Unacknowledged { .. }) => Ok(()),
            Err(error) => Err(error),
        }
    }
}

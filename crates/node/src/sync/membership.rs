//! Joins and leaves the membership.

use super::{Error, Replica};
use clients::Table;
use contract::{Member, Object};
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::sleep;
use wire::{Entry, Frame, Leave};

/// Interval at which the node checks its own membership.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum delay before a failed join is retried.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

impl<T: Table> Replica<T> {
    /// Joins, and rejoins whenever other nodes have removed this one.
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
                    log::debug!(event = 1206; "failed to join: {error}");
                    sleep(MAX_RETRY_DELAY.mul_f64(rand::random())).await;
                }
            }
        }
    }

    /// Announces on links and in the log that this node is leaving, so that it gets no new work.
    /// During an outage of the platform only the announcement on links succeeds.
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

    /// Removes this node from the members. Call it after its last request has ended.
    pub async fn deregister(&self) -> Result<(), Error> {
        self.leaving.store(true, Ordering::SeqCst);
        if !self.joined() {
            return Ok(());
        }
        self.change_membership("left", None).await
    }

    /// Whether a later incarnation of this node is a member, which this one must not replace.
    fn is_superseded(&self) -> bool {
        let member = &self.settings.member;
        let known = self.view().incarnation(&member.node);
        let is_superseded = known.is_some_and(|known| known > member.incarnation);
        if is_superseded {
            log::error!(event = 1207; "a later incarnation of {} is a member; check this node's clock", member.node);
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
        // The base makes the change id unique when a removed node rejoins.
        let base = self.config().revision();
        let change = format!("{action}/{node}/{}/{base}", self.incarnation());
        match self.propose(change, Some(base), vec![entry]).await {
            Ok(_) | Err(Error::Unacknowledged { .. }) => Ok(()),
            Err(error) => Err(error),
        }
    }
}

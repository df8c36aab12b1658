//! Removal of members that have ended.

use super::{Error, Replica, rows};
use clients::Table;
use clients::vms::Kind;
use contract::{Map, Set};
use std::convert::Infallible;
use std::time::{Duration, Instant};
use tokio::time::{MissedTickBehavior, interval};
use view::{Member, State, Voter};
use wire::Entry;

/// Interval between two looks.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// A member that may have ended: its lease as last seen, and since when nothing spoke for its life.
#[derive(Clone, Copy, Debug)]
struct Suspect {
    lease: u64,
    since: Instant,
}

impl<T: Table> Replica<T> {
    /// Looks for members that have ended. One is taken to have ended once, for as long as a lease
    /// and the lag of the list, it was silent on links, its lease wasn't renewed and the list of
    /// VMs didn't name it, all by this node's own clock.
    pub(super) async fn sweep(&self) {
        let mut suspects: Map<Voter, Suspect> = Map::default();
        let mut ticks = interval(SWEEP_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let silent = self.silent();
            suspects.retain(|voter, _| silent.contains(voter));
            if silent.is_empty() || !self.is_sweeper() {
                continue;
            }
            if let Err(error) = self.check_suspects(&silent, &mut suspects).await {
                log::debug!(event = 1208; "silent members can't be examined: {error}");
            }
        }
    }

    /// The live member with the least name sweeps, and so does a node whose changes aren't accepted.
    fn is_sweeper(&self) -> bool {
        let view = self.view();
        let members = view.members(Instant::now());
        let mut live = members.iter().filter(|one| one.state == State::Live);
        let is_first = live
            .next()
            .is_some_and(|one| one.node == self.settings.member.node);
        is_first || view.accepted() < view.revision()
    }

    fn silent(&self) -> Set<Voter> {
        let members = self.members(Instant::now());
        let is_silent =
            |one: &&Member| one.state != State::Live && one.node != self.settings.member.node;
        members
            .iter()
            .filter(is_silent)
            .map(|one| Voter {
                node: one.node.clone(),
                incarnation: one.incarnation,
            })
            .collect()
    }

    async fn check_suspects(
        &self,
        silent: &Set<Voter>,
        suspects: &mut Map<Voter, Suspect>,
    ) -> Result<(), Error> {
        let Some(listed) = self.listed_nodes().await? else {
            return Ok(());
        };
        let (_, lease_ttl) = self.lease_times();
        for voter in silent {
            let lease = self.log.table.get(rows::LEASES, &voter.node).await;
            let lease = self.count_read(lease.map_err(Error::Platform))?;
            let lease = lease.map_or(0, |item| item.rev);
            let now = Instant::now();
            let suspect = suspects
                .entry(voter.clone())
                .or_insert(Suspect { lease, since: now });
            if suspect.lease != lease || listed.contains(&voter.node) {
                *suspect = Suspect { lease, since: now };
            }
            if now - suspect.since > lease_ttl + self.settings.vm_list_lag {
                self.remove_member(voter).await?;
            }
        }
        Ok(())
    }

    /// Names of the nodes on the list of VMs. A list that lacks this node isn't believed: it may name
    /// no nodes at all, and a member's end would follow from its lease alone.
    async fn listed_nodes(&self) -> Result<Option<Set<String>>, Error> {
        let Some(vms) = &self.vms else {
            return Ok(None);
        };
        let vms = vms.list().await.map_err(Error::Platform)?;
        let nodes = vms.into_iter().filter(|vm| vm.kind == Kind::Entry);
        let listed: Set<String> = nodes.filter_map(|vm| vm.node).collect();
        Ok(Some(listed).filter(|listed| listed.contains(&self.settings.member.node)))
    }

    async fn remove_member(&self, voter: &Voter) -> Result<(), Error> {
        let Ok(()) = self.update(|view| {
            view.confirm_gone(&voter.node, voter.incarnation);
            Ok::<_, Infallible>(Vec::new())
        });
        let base = self.config().revision();
        if self.view().incarnation(&voter.node) != Some(voter.incarnation) {
            return Ok(());
        }
        log::warn!(event = 1209; "{} has ended and is removed", voter.node);
        let entry = Entry {
            key: format!("member/{}", voter.node),
            body: None,
        };
        let change = format!("remove/{}/{}", voter.node, voter.incarnation);
        self.propose(change, Some(base), vec![entry]).await?;
        Ok(())
    }
}

//! Removes dead members.

use super::{Error, Replica, rows};
use clients::Table;
use clients::vms::Kind;
use contract::{Map, Set};
use std::convert::Infallible;
use std::time::{Duration, Instant};
use tokio::time::{MissedTickBehavior, interval};
use view::{Member, State, Voter};
use wire::Entry;

/// Interval between two sweeps.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// A member that may be dead: its lease as last read, and since when nothing shows that it runs.
#[derive(Clone, Copy, Debug)]
struct Suspect {
    lease: u64,
    since: Instant,
}

impl<T: Table> Replica<T> {
    /// Removes dead members. A member is dead once it has been silent on links, has not renewed
    /// its lease and has been missing from the VM list for the lease duration plus the lag of the
    /// list, all by this node's own clock.
    pub(super) async fn sweep(&self) {
        let mut suspects: Map<Voter, Suspect> = Map::default();
        let mut ticks = interval(SWEEP_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let silent = self.silent_members();
            suspects.retain(|voter, _| silent.contains(voter));
            if silent.is_empty() || !self.is_sweeper() {
                continue;
            }
            if let Err(error) = self.check_suspects(&silent, &mut suspects).await {
                log::debug!(event = 1208; "failed to check silent members: {error}");
            }
        }
    }

    /// Whether this node sweeps: it is the live member with the smallest name, or its applied
    /// revision is not accepted yet.
    fn is_sweeper(&self) -> bool {
        let view = self.view();
        let members = view.members(Instant::now());
        let mut live = members.iter().filter(|one| one.state == State::Live);
        let is_first = live
            .next()
            .is_some_and(|one| one.node == self.settings.member.node);
        is_first || view.accepted() < view.revision()
    }

    fn silent_members(&self) -> Set<Voter> {
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

    /// Returns the names of the nodes on the VM list, or `None` if the list lacks this node. Such a
    /// list may name no nodes at all, so that an expired lease alone would remove a member.
    async fn listed_nodes(&self) -> Result<Option<Set<String>>, Error> {
        let Some(vms) = &self.vms else {
            return Ok(None);
        };
        let vms = vms.list().await.map_err(Error::Platform)?;
        let nodes = vms.into_iter().filter(|vm| vm.kind == Kind::Node);
        let listed: Set<String> = nodes.filter_map(|vm| vm.node).collect();
        Ok(Some(listed).filter(|listed| listed.contains(&self.settings.member.node)))
    }

    async fn remove_member(&self, voter: &Voter) -> Result<(), Error> {
        let Ok(()) = self.update(|view| {
            view.confirm_terminated(&voter.node, voter.incarnation);
            Ok::<_, Infallible>(Vec::new())
        });
        let base = self.config().revision();
        if self.view().incarnation(&voter.node) != Some(voter.incarnation) {
            return Ok(());
        }
        log::warn!(event = 1209; "member {} is dead; removing it", voter.node);
        let entry = Entry {
            key: format!("member/{}", voter.node),
            body: None,
        };
        let change = format!("remove/{}/{}", voter.node, voter.incarnation);
        self.propose(change, Some(base), vec![entry]).await?;
        Ok(())
    }
}

//! The members whose acknowledgements are counted.

use contract::{Config, Incarnation, Member, NodeId, Object};
use wire::{Delta, Entry};

/// One incarnation of a node. A restarted node is a different voter.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Voter {
    /// Name of the node.
    pub node: NodeId,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
}

/// The members at one revision, ordered by name.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Membership {
    voters: Vec<Voter>,
    digest: u64,
}

impl Membership {
    /// Extracts the members from a configuration.
    ///
    /// ```
    /// let membership = view::Membership::of(&contract::Config::default());
    /// assert!(membership.voters().is_empty());
    /// ```
    pub fn of(config: &Config) -> Self {
        Self::new(config.members().map(voter).collect())
    }

    /// Reconstructs the members before the last revision from the configuration after it.
    pub(crate) fn before(config: &Config, last: &Delta) -> Self {
        let changed = |node: &str| {
            let key = format!("member/{node}");
            last.entries.iter().any(|entry| entry.key == key)
        };
        let kept = config.members().filter(|member| !changed(&member.node));
        let replaced = last.replaced.iter().filter_map(parse_voter);
        Self::new(kept.map(voter).chain(replaced).collect())
    }

    /// The members that result from a change to these members.
    pub(crate) fn after(&self, entries: &[Entry]) -> Self {
        let mut voters = self.voters.clone();
        for entry in entries {
            let Some(node) = entry.key.strip_prefix("member/") else {
                continue;
            };
            voters.retain(|voter| voter.node != node);
            voters.extend(parse_voter(entry));
        }
        Self::new(voters)
    }

    /// The voters, ordered by name.
    pub fn voters(&self) -> &[Voter] {
        &self.voters
    }

    /// Number of voters that form a majority.
    ///
    /// ```
    /// assert_eq!(view::Membership::default().majority(), 1);
    /// ```
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Digest of the names and incarnations.
    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    pub(crate) fn contains(&self, voter: &Voter) -> bool {
        self.voters.binary_search(voter).is_ok()
    }

    fn new(mut voters: Vec<Voter>) -> Self {
        voters.sort_unstable();
        let texts: Vec<String> = voters
            .iter()
            .map(|voter| format!("{}/{}", voter.node, voter.incarnation))
            .collect();
        let digest = contract::stable_hash(texts.iter().map(String::as_str));
        Self { voters, digest }
    }
}

fn voter(member: &Member) -> Voter {
    Voter {
        node: member.node.clone(),
        incarnation: member.incarnation,
    }
}

fn parse_voter(entry: &Entry) -> Option<Voter> {
    match Object::read(&entry.key, entry.body.as_deref()?) {
        Ok(Object::Member(member)) => Some(voter(&member)),
        _ => None,
    }
}

//! The members whose acknowledgements count.

use contract::{Config, Incarnation, Member, NodeId, Object};
use wire::{Delta, Entry};

/// One start of a node. A node that starts again is another voter.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Voter {
    /// Name of the node.
    pub node: NodeId,
    /// Its start.
    pub incarnation: Incarnation,
}

/// The members at one revision, in the order of their names.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Membership {
    voters: Vec<Voter>,
    digest: u64,
}

impl Membership {
    /// Members of a configuration.
    ///
    /// ```
    /// let membership = view::Membership::of(&contract::Config::default());
    /// assert!(membership.voters().is_empty());
    /// ```
    pub fn of(config: &Config) -> Self {
        Self::new(config.members().map(voter).collect())
    }

    /// Members before a revision, given those after it.
    pub(crate) fn before(config: &Config, last: &Delta) -> Self {
        let changed = |node: &str| {
            let key = format!("member/{node}");
            last.entries.iter().any(|entry| entry.key == key)
        };
        let kept = config.members().filter(|member| !changed(&member.node));
        let replaced = last.replaced.iter().filter_map(read);
        Self::new(kept.map(voter).chain(replaced).collect())
    }

    /// The members after a change, given those before it.
    pub(crate) fn after(&self, entries: &[Entry]) -> Self {
        let mut voters = self.voters.clone();
        for entry in entries {
            let Some(node) = entry.key.strip_prefix("member/") else {
                continue;
            };
            voters.retain(|voter| voter.node != node);
            voters.extend(read(entry));
        }
        Self::new(voters)
    }

    /// The voters in the order of their names.
    pub fn voters(&self) -> &[Voter] {
        &self.voters
    }

    /// How many voters are a majority.
    ///
    /// ```
    /// assert_eq!(view::Membership::default().majority(), 1);
    /// ```
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Digest of names and incarnations.
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

fn read(entry: &Entry) -> Option<Voter> {
    match Object::read(&entry.key, entry.body.as_deref()?) {
        Ok(Object::Member(member)) => Some(voter(&member)),
        _ => None,
    }
}

//! The whole configuration at one revision.

use crate::{
    Access, Contract, Error, Member, Model, Object, ObjectKey, Revision, Rollout, Service, Version,
    Zone,
};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Prefix of the keys of members.
const MEMBER_PREFIX: &str = "member/";

/// The configuration at one revision. Cloning copies the map of keys but shares the objects.
#[derive(Clone, Debug, Default)]
pub struct Config {
    revision: Revision,
    membership: Membership,
    objects: BTreeMap<ObjectKey, Arc<Object>>,
}

/// Version of the member list, as far as a replica has followed its history.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Membership {
    /// Revision of the replica's snapshot.
    pub base: Revision,
    /// Revision that last changed a member.
    pub revision: Revision,
    /// Number of changes to members since the replica's snapshot.
    pub changes: u64,
}

impl Config {
    /// Builds a configuration from a complete set of objects.
    ///
    /// ```
    /// let config = contract::Config::new(3, Vec::new());
    /// assert_eq!(config.revision(), 3);
    /// ```
    pub fn new(revision: Revision, objects: Vec<Object>) -> Self {
        let objects = objects
            .into_iter()
            .map(|object| (object.key(), Arc::new(object)))
            .collect();
        let membership = Membership {
            base: revision,
            revision,
            changes: 0,
        };
        Self {
            revision,
            membership,
            objects,
        }
    }

    /// Revision of this snapshot.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Version of the member list.
    ///
    /// ```
    /// let mut config = contract::Config::new(3, Vec::new());
    /// config.apply(4, &[("member/n1", None)])?;
    /// config.apply(5, &[("zone/a", None)])?;
    /// assert_eq!((config.membership().revision, config.membership().changes), (4, 1));
    /// # Ok::<(), contract::Error>(())
    /// ```
    pub fn membership(&self) -> Membership {
        self.membership
    }

    /// All objects, ordered by key.
    pub fn objects(&self) -> impl Iterator<Item = (&ObjectKey, &Arc<Object>)> {
        self.objects.iter()
    }

    /// The object with a key.
    pub fn get(&self, key: &str) -> Option<&Arc<Object>> {
        self.objects.get(key)
    }

    /// Applies the next revision: each entry puts an object, or removes it if it has no body.
    ///
    /// Nothing is changed on an error.
    ///
    /// ```
    /// let mut config = contract::Config::default();
    /// let body = r#"{"zone":{"name":"a","out":true}}"#;
    /// config.apply(1, &[("zone/a", Some(body))])?;
    /// assert!(config.is_zone_out("a"));
    /// assert!(config.apply(1, &[]).is_err());
    /// # Ok::<(), contract::Error>(())
    /// ```
    pub fn apply(
        &mut self,
        revision: Revision,
        entries: &[(&str, Option<&str>)],
    ) -> Result<(), Error> {
        if revision != self.revision + 1 {
            return Err(Error::UnexpectedRevision {
                current: self.revision,
                found: revision,
            });
        }
        let parsed = entries
            .iter()
            .map(|(key, body)| body.map(|body| Object::read(key, body)).transpose())
            .collect::<Result<Vec<_>, _>>()?;
        for ((key, _), object) in entries.iter().zip(parsed) {
            match object {
                Some(object) => self.objects.insert((*key).to_owned(), Arc::new(object)),
                None => self.objects.remove(*key),
            };
        }
        self.revision = revision;
        if entries
            .iter()
            .any(|(key, _)| key.starts_with(MEMBER_PREFIX))
        {
            self.membership.revision = revision;
            self.membership.changes += 1;
        }
        Ok(())
    }

    /// A copy with edits applied, at the same revision. An edit without an object removes it.
    ///
    /// ```
    /// let zone = contract::Object::Zone(contract::Zone { name: "a".into(), out: true });
    /// let config = contract::Config::default().with_edits([("zone/a".to_owned(), Some(zone))]);
    /// assert!(config.is_zone_out("a"));
    /// ```
    pub fn with_edits(&self, edits: impl IntoIterator<Item = (ObjectKey, Option<Object>)>) -> Self {
        let mut after = self.clone();
        for (key, object) in edits {
            match object {
                Some(object) => after.objects.insert(key, Arc::new(object)),
                None => after.objects.remove(&key),
            };
        }
        after
    }

    /// All operators, each with the keys that authenticate them.
    pub fn operators(&self) -> impl Iterator<Item = &Access> {
        self.objects_with_prefix("access/")
            .filter_map(|object| match object {
                Object::Access(access) => Some(access),
                _ => None,
            })
    }

    /// All availability zones that have an object in the configuration.
    pub fn zones(&self) -> impl Iterator<Item = &Zone> {
        self.objects_with_prefix("zone/")
            .filter_map(|object| match object {
                Object::Zone(zone) => Some(zone),
                _ => None,
            })
    }

    /// All contracts.
    pub fn contracts(&self) -> impl Iterator<Item = &Contract> {
        self.objects_with_prefix("contract/")
            .filter_map(|object| match object {
                Object::Contract(contract) => Some(contract),
                _ => None,
            })
    }

    /// The contract of a customer.
    pub fn contract(&self, customer: &str) -> Option<&Contract> {
        match self.get(&format!("contract/{customer}"))?.as_ref() {
            Object::Contract(contract) => Some(contract),
            _ => None,
        }
    }

    /// All members of the fleet.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.objects_with_prefix(MEMBER_PREFIX)
            .filter_map(|object| match object {
                Object::Member(member) => Some(member),
                _ => None,
            })
    }

    /// All models.
    pub fn models(&self) -> impl Iterator<Item = &Model> {
        self.objects_with_prefix("model/")
            .filter_map(|object| match object {
                Object::Model(model) => Some(model),
                _ => None,
            })
    }

    /// A version of a model, whether or not it is withdrawn.
    pub fn version(&self, model: &str, version: &str) -> Option<&Version> {
        match self.get(&format!("model/{model}"))?.as_ref() {
            Object::Model(model) => model
                .versions
                .iter()
                .find(|candidate| candidate.name == version),
            _ => None,
        }
    }

    /// A plain service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        match self.get(&format!("service/{name}"))?.as_ref() {
            Object::Service(service) => Some(service),
            _ => None,
        }
    }

    /// The roll-out in progress for a model.
    pub fn rollout(&self, model: &str) -> Option<&Rollout> {
        match self.get(&format!("rollout/{model}"))?.as_ref() {
            Object::Rollout(rollout) => Some(rollout),
            _ => None,
        }
    }

    /// Whether a version is withdrawn.
    pub fn is_withdrawn(&self, model: &str, version: &str) -> bool {
        self.objects
            .contains_key(&format!("withdrawal/{model}@{version}"))
    }

    /// Whether operators have taken an availability zone out of service.
    pub fn is_zone_out(&self, zone: &str) -> bool {
        match self.get(&format!("zone/{zone}")).map(Arc::as_ref) {
            Some(Object::Zone(zone)) => zone.out,
            _ => false,
        }
    }

    /// Whether a contract allows a version and the version isn't withdrawn. A model listed without
    /// a version allows all its versions.
    ///
    /// ```
    /// let contract: contract::Contract = serde_json::from_str(
    ///     r#"{"customer":"c","keys":[],"models":["small@1","large"]}"#).unwrap();
    /// let config = contract::Config::default();
    /// assert!(config.is_allowed(&contract, "small", "1"));
    /// assert!(config.is_allowed(&contract, "large", "7"));
    /// assert!(!config.is_allowed(&contract, "small", "2"));
    /// ```
    pub fn is_allowed(&self, contract: &Contract, model: &str, version: &str) -> bool {
        let listed = contract
            .models
            .iter()
            .any(|entry| match entry.split_once('@') {
                Some((name, only)) => name == model && only == version,
                None => entry == model,
            });
        listed && !self.is_withdrawn(model, version)
    }

    fn objects_with_prefix(&self, prefix: &'static str) -> impl Iterator<Item = &Object> {
        self.objects
            .range(prefix.to_owned()..)
            .take_while(move |(key, _)| key.starts_with(prefix))
            .map(|(_, object)| object.as_ref())
    }
}

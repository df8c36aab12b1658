//! Object keys and deserialization.

use crate::{
    Access, Contract, Error, Member, Model, Object, ObjectKey, Rollout, Service, Withdrawal, Zone,
};

impl Object {
    /// Key of the object in the configuration, `kind/name`.
    ///
    /// ```
    /// let zone = contract::Zone { name: "a".into(), out: true };
    /// assert_eq!(contract::Object::Zone(zone).key(), "zone/a");
    /// ```
    pub fn key(&self) -> ObjectKey {
        match self {
            Self::Access(Access { name, .. }) => format!("access/{name}"),
            Self::Contract(Contract { customer, .. }) => format!("contract/{customer}"),
            Self::Member(Member { node, .. }) => format!("member/{node}"),
            Self::Model(Model { name, .. }) => format!("model/{name}"),
            Self::Rollout(Rollout { model, .. }) => format!("rollout/{model}"),
            Self::Service(Service { name, .. }) => format!("service/{name}"),
            Self::Withdrawal(Withdrawal { model, version, .. }) => {
                format!("withdrawal/{model}@{version}")
            }
            Self::Zone(Zone { name, .. }) => format!("zone/{name}"),
        }
    }

    /// Parses an object from JSON and checks that its content matches the key.
    ///
    /// ```
    /// let zone = contract::Object::read("zone/a", r#"{"zone":{"name":"a","out":true}}"#);
    /// assert!(zone.is_ok());
    /// ```
    pub fn read(key: &str, body: &str) -> Result<Self, Error> {
        let object: Self = serde_json::from_str(body).map_err(|source| Error::InvalidBody {
            key: key.to_owned(),
            source,
        })?;
        let found = object.key();
        if found != key {
            return Err(Error::KeyMismatch {
                key: key.to_owned(),
                found,
            });
        }
        Ok(object)
    }
}

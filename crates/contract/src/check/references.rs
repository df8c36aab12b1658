//! Validation of references between objects.

use super::Finding;
use crate::{Access, Config, Contract, Key, Map, Object, Violation};

/// Checks that everything an object refers to exists.
pub(super) fn check(config: &Config, key: &str, object: &Object, findings: &mut Vec<Finding>) {
    match object {
        Object::Contract(contract) => check_contract(config, key, contract, findings),
        Object::Rollout(rollout) => {
            findings.extend(check_version(
                config,
                key,
                "/to",
                &rollout.model,
                &rollout.to,
            ));
            if config.is_withdrawn(&rollout.model, &rollout.to) {
                let violation = Violation::WithdrawnVersion(rollout.to.clone());
                findings.push(Finding::new(key, "/to", violation));
            }
        }
        Object::Withdrawal(withdrawal) => {
            findings.extend(check_version(
                config,
                key,
                "/version",
                &withdrawal.model,
                &withdrawal.version,
            ));
        }
        Object::Access(_)
        | Object::Member(_)
        | Object::Model(_)
        | Object::Service(_)
        | Object::Zone(_) => {}
    }
}

fn check_contract(config: &Config, key: &str, contract: &Contract, findings: &mut Vec<Finding>) {
    for (index, allowed) in contract.models.iter().enumerate() {
        let path = format!("/models/{index}");
        let finding = match allowed.split_once('@') {
            Some((model, name)) => check_version(config, key, &path, model, name),
            None => check_model(config, key, &path, allowed),
        };
        findings.extend(finding);
    }
    for (index, service) in contract.services.iter().enumerate() {
        if config.service(service).is_none() {
            let violation = Violation::UnknownService(service.clone());
            findings.push(Finding::new(key, format!("/services/{index}"), violation));
        }
    }
}

fn check_model(config: &Config, key: &str, path: &str, model: &str) -> Option<Finding> {
    let found = config.get(&format!("model/{model}"));
    match found {
        Some(_) => None,
        None => Some(Finding::new(
            key,
            path,
            Violation::UnknownModel(model.to_owned()),
        )),
    }
}

fn check_version(
    config: &Config,
    key: &str,
    path: &str,
    name: &str,
    version: &str,
) -> Option<Finding> {
    if let Some(finding) = check_model(config, key, path, name) {
        return Some(finding);
    }
    if config.version(name, version).is_some() {
        return None;
    }
    let violation = Violation::UnknownVersion {
        model: name.to_owned(),
        version: version.to_owned(),
    };
    Some(Finding::new(key, path, violation))
}

/// Checks that no two customers and no two operators have the same key.
pub(super) fn check_shared_keys(config: &Config, findings: &mut Vec<Finding>) {
    let customers = config
        .contracts()
        .map(|Contract { customer, keys, .. }| ("contract", customer.as_str(), keys.as_slice()));
    report_shared(customers, findings, Violation::SharedCustomerKey);
    let operators = config
        .operators()
        .map(|Access { name, keys }| ("access", name.as_str(), keys.as_slice()));
    report_shared(operators, findings, Violation::SharedOperatorKey);
}

fn report_shared<'a>(
    owners: impl Iterator<Item = (&'a str, &'a str, &'a [Key])>,
    findings: &mut Vec<Finding>,
    violation: fn(String) -> Violation,
) {
    let mut owner_of: Map<&str, &str> = Map::default();
    for (kind, owner, keys) in owners {
        for (index, key) in keys.iter().enumerate() {
            let first = *owner_of.entry(&key.sha256).or_insert(owner);
            if first != owner {
                let path = format!("/keys/{index}/sha256");
                let object = format!("{kind}/{owner}");
                findings.push(Finding::new(&object, path, violation(first.to_owned())));
            }
        }
    }
}

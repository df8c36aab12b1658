//! Warnings about contracts and zones that leave no version or member to serve requests.

use super::Finding;
use crate::{Config, Contract, Set, Version, Violation};

/// Warns about contracts that can't be served, and about zones taken out by mistake.
pub(super) fn check(config: &Config, findings: &mut Vec<Finding>) {
    for contract in config.contracts() {
        check_contract(config, contract, findings);
    }
    check_zones(config, findings);
}

fn check_zones(config: &Config, findings: &mut Vec<Finding>) {
    let populated: Set<&str> = config
        .members()
        .map(|member| member.zone.as_str())
        .collect();
    if populated.is_empty() {
        return;
    }
    let any_in = populated.iter().any(|zone| !config.is_zone_out(zone));
    for zone in config.zones().filter(|zone| zone.out) {
        let violation = match populated.contains(zone.name.as_str()) {
            false => Violation::NoMemberInZone(zone.name.clone()),
            true if !any_in => Violation::AllZonesOut,
            true => continue,
        };
        let key = format!("zone/{}", zone.name);
        findings.push(Finding::new(&key, "/out", violation));
    }
}

fn check_contract(config: &Config, contract: &Contract, findings: &mut Vec<Finding>) {
    if contract.models.is_empty() {
        return;
    }
    let key = format!("contract/{}", contract.customer);
    let best = allowed_versions(config, contract)
        .map(|version| version.quality.unwrap_or(DEFAULT_QUALITY))
        .reduce(f64::max);
    let Some(best) = best else {
        findings.push(Finding::new(&key, "/models", Violation::NoServableVersion));
        return;
    };
    for (name, task) in &contract.tasks {
        if task.quality > best && task.quality <= 1.0 {
            let violation = Violation::UnreachableQuality {
                task: name.clone(),
                expected: task.quality,
                best,
            };
            let path = format!("/tasks/{name}/quality");
            findings.push(Finding::new(&key, path, violation));
        }
    }
}

/// Prior quality, the share of good answers, of a version that declares none.
const DEFAULT_QUALITY: f64 = 0.5;

fn allowed_versions<'a>(
    config: &'a Config,
    contract: &'a Contract,
) -> impl Iterator<Item = &'a Version> {
    config.models().flat_map(move |model| {
        let allowed = |version: &&Version| config.is_allowed(contract, &model.name, &version.name);
        model.versions.iter().filter(allowed)
    })
}

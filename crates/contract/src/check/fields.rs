//! Validation of single objects: names, ranges and duplicates.

use super::Finding;
use crate::{Access, Contract, Key, Model, Object, Service, Task, Version, Violation};

/// Longest name in characters.
const MAX_NAME_CHARS: usize = 64;
/// Highest priority number.
const MAX_PRIORITY: u8 = 9;
/// Largest number of concurrent requests per backend server.
const MAX_SLOTS: u32 = 100_000;
/// Longest deadline or timeout in milliseconds: one hour.
const MAX_TIME_MS: u64 = 3_600_000;
/// Longest budget period in seconds: about one year.
const MAX_PERIOD_S: u64 = 366 * 24 * 3600;
/// Largest token limit of one response.
const MAX_TOKENS: u32 = 1_000_000;
/// Largest weight of a customer relative to the others.
const MAX_WEIGHT: u32 = 1_000_000;
/// HTTP methods that a route may have.
const METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

/// Validates the fields of an object.
pub(super) fn check(key: &str, object: &Object, findings: &mut Vec<Finding>) {
    let mut checker = Checker { key, findings };
    match object {
        Object::Access(access) => checker.access(access),
        Object::Contract(contract) => checker.contract(contract),
        Object::Member(member) => {
            checker.name("/node", &member.node);
            checker.name("/zone", &member.zone);
        }
        Object::Model(model) => checker.model(model),
        Object::Rollout(rollout) => checker.name("/model", &rollout.model),
        Object::Service(service) => checker.service(service),
        Object::Withdrawal(withdrawal) => checker.name("/model", &withdrawal.model),
        Object::Zone(zone) => checker.name("/name", &zone.name),
    }
}

/// Whether a text is valid as the name of an object or the identifier of a change.
///
/// ```
/// assert!(contract::check::is_name("harbour-hall"));
/// assert!(!contract::check::is_name("harbour hall"));
/// ```
pub fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b".-_".contains(&byte);
    (1..=MAX_NAME_CHARS).contains(&text.len()) && text.bytes().all(allowed)
}

/// Validates one object and collects the findings.
struct Checker<'a> {
    key: &'a str,
    findings: &'a mut Vec<Finding>,
}

impl Checker<'_> {
    fn report(&mut self, path: impl Into<String>, violation: Violation) {
        self.findings.push(Finding::new(self.key, path, violation));
    }

    fn name(&mut self, path: &str, name: &str) {
        if !is_name(name) {
            self.report(path, Violation::InvalidName(name.to_owned()));
        }
    }

    fn range(&mut self, path: &str, found: impl Into<f64>, low: f64, high: f64) {
        let found = found.into();
        if !(low..=high).contains(&found) {
            self.report(path, Violation::OutOfRange { found, low, high });
        }
    }

    fn duration(&mut self, path: &str, found: u64, high: u64) {
        let (found, high) = (found as f64, high as f64);
        self.range(path, found, 1.0, high);
    }

    fn unique<'n>(&mut self, path: &str, names: impl Iterator<Item = &'n str>) {
        let mut seen = crate::Set::default();
        for (index, name) in names.enumerate() {
            if !seen.insert(name) {
                self.report(
                    format!("{path}/{index}"),
                    Violation::DuplicateName(name.to_owned()),
                );
            }
        }
    }

    fn keys(&mut self, keys: &[Key]) {
        self.unique("/keys", keys.iter().map(|key| key.id.as_str()));
        for (index, key) in keys.iter().enumerate() {
            let digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
            if key.sha256.len() != 64 || !key.sha256.bytes().all(digit) {
                self.report(format!("/keys/{index}/sha256"), Violation::InvalidDigest);
            }
        }
    }

    fn access(&mut self, access: &Access) {
        self.name("/name", &access.name);
        self.keys(&access.keys);
    }

    fn contract(&mut self, contract: &Contract) {
        self.name("/customer", &contract.customer);
        self.keys(&contract.keys);
        if contract.models.is_empty() && contract.services.is_empty() {
            self.report("/models", Violation::EmptyList);
        }
        self.unique("/models", contract.models.iter().map(String::as_str));
        self.unique("/services", contract.services.iter().map(String::as_str));
        self.range("/priority", contract.priority, 0.0, MAX_PRIORITY.into());
        self.range("/weight", contract.weight, 1.0, MAX_WEIGHT.into());
        if let Some(budget) = &contract.spend {
            self.duration("/spend/period_s", budget.period_s, MAX_PERIOD_S);
        }
        for (name, task) in &contract.tasks {
            self.name(&format!("/tasks/{name}"), name);
            self.task(&format!("/tasks/{name}"), task);
        }
    }

    fn task(&mut self, path: &str, task: &Task) {
        self.range(&format!("{path}/quality"), task.quality, 0.0, 1.0);
        self.duration(
            &format!("{path}/deadline_ms"),
            task.deadline_ms,
            MAX_TIME_MS,
        );
        let tokens = format!("{path}/max_tokens");
        self.range(&tokens, task.max_tokens, 1.0, MAX_TOKENS.into());
    }

    fn model(&mut self, model: &Model) {
        self.name("/name", &model.name);
        if model.versions.is_empty() {
            self.report("/versions", Violation::EmptyList);
        }
        let names = model.versions.iter().map(|version| version.name.as_str());
        self.unique("/versions", names);
        for (index, version) in model.versions.iter().enumerate() {
            self.version(&format!("/versions/{index}"), version);
        }
    }

    fn version(&mut self, path: &str, version: &Version) {
        self.name(&format!("{path}/name"), &version.name);
        let quality = version.quality.unwrap_or(0.0);
        self.range(&format!("{path}/quality"), quality, 0.0, 1.0);
        let slots = format!("{path}/slots");
        self.range(&slots, version.slots, 1.0, MAX_SLOTS.into());
        let warm = version.slots.max(1);
        let cold = format!("{path}/cold_slots");
        self.range(&cold, version.cold_slots, 1.0, warm.into());
    }

    fn service(&mut self, service: &Service) {
        self.name("/name", &service.name);
        self.range("/slots", service.slots, 1.0, MAX_SLOTS.into());
        self.duration("/timeout_ms", service.timeout_ms, MAX_TIME_MS);
        for (index, route) in service.routes.iter().enumerate() {
            if !METHODS.contains(&route.method.as_str()) {
                let violation = Violation::UnsupportedMethod(route.method.clone());
                self.report(format!("/routes/{index}/method"), violation);
            }
            if !route.prefix.starts_with('/') {
                let violation = Violation::InvalidPrefix(route.prefix.clone());
                self.report(format!("/routes/{index}/prefix"), violation);
            }
        }
    }
}

//! Configuration that tests begin with.

use contract::{Contract, Key, Model, Object, Route, Service, Task, Version};
use std::collections::BTreeMap;

/// Completed requests after which engines of tests are warm.
pub(super) const WARM_AFTER: u32 = 2;

/// Two customers, two models and a reservation service. The bearer key of a customer is its name
/// followed by `-key`.
///
/// ```
/// assert_eq!(standin::fleet::sample().len(), 5);
/// ```
pub fn sample() -> Vec<Object> {
    vec![
        Object::Model(model("small", &["1", "2"], 100, 0.85)),
        Object::Model(model("large", &["1"], 2_000, 0.95)),
        Object::Service(reservations()),
        Object::Contract(customer("north", &["small", "large"])),
        Object::Contract(customer("south", &["small@1", "large"])),
    ]
}

fn model(name: &str, versions: &[&str], micros: u64, quality: f64) -> Model {
    let versions = versions.iter().map(|version| Version {
        cold_slots: 1,
        fenced: false,
        input_micros: micros,
        name: (*version).to_owned(),
        output_micros: micros * 3,
        quality: Some(quality),
        slots: 16,
        warm_after: WARM_AFTER,
    });
    Model {
        name: name.to_owned(),
        versions: versions.collect(),
    }
}

fn reservations() -> Service {
    let route = |method: &str, repeatable| Route {
        method: method.to_owned(),
        prefix: "/bookings".to_owned(),
        repeatable,
    };
    Service {
        name: "reservations".to_owned(),
        routes: vec![route("GET", true), route("POST", false)],
        slots: 32,
        timeout_ms: 5_000,
    }
}

fn customer(name: &str, models: &[&str]) -> Contract {
    let task = |quality| Task {
        cascade: true,
        deadline_ms: 20_000,
        hold: false,
        max_tokens: 64,
        quality,
    };
    let quick = Task {
        cascade: false,
        deadline_ms: 1_000,
        ..task(0.6)
    };
    let tasks = [("tag", task(0.6)), ("draft", task(0.9)), ("quick", quick)];
    Contract {
        customer: name.to_owned(),
        keys: vec![Key::new("k1", &format!("{name}-key"))],
        models: models.iter().map(ToString::to_string).collect(),
        priority: 5,
        services: vec!["reservations".to_owned()],
        spend: None,
        tasks: tasks
            .into_iter()
            .map(|(name, task)| (name.to_owned(), task))
            .collect::<BTreeMap<_, _>>(),
        weight: 1,
    }
}

//! Sizes and workloads of the two users.

use contract::{Config, Object};
use serde_json::json;

/// One task: how often, how long, and what is expected.
#[derive(Clone, Copy, Debug)]
pub struct Task {
    pub name: &'static str,
    /// Share of the requests.
    pub share: f64,
    /// Tokens of the prompt, most of which all requests of a customer share.
    pub prompt: u64,
    /// Mean tokens of an answer.
    pub tokens: f64,
    /// Share of answers that must be good.
    pub target: f64,
    pub deadline_ms: u64,
    /// Whether answers may be rated before the caller sees them.
    pub gated: bool,
}

/// One version of a model.
#[derive(Clone, Copy, Debug)]
pub struct Version {
    pub model: &'static str,
    pub name: &'static str,
    pub input_micros: u64,
    pub output_micros: u64,
    /// Share of good answers that the configuration expects.
    pub prior: f64,
    /// Share of good answers by task.
    pub quality: [f64; 3],
    /// Milliseconds for each token of an answer that runs alone.
    pub token_ms: f64,
    /// Milliseconds for each token of a prompt that isn't cached.
    pub prompt_ms: f64,
    pub slots: u32,
    /// Backend servers in each site.
    pub servers: u32,
}

/// One user's system.
#[derive(Clone, Debug)]
pub struct Site {
    pub name: &'static str,
    pub zones: &'static [&'static str],
    pub nodes: usize,
    pub tasks: [Task; 3],
    pub versions: Vec<Version>,
    /// Share of the requests by customer.
    pub customers: Vec<f64>,
}

const ZONES: [&str; 4] = ["a", "b", "c", "d"];

impl Site {
    pub fn all() -> [Self; 2] {
        [fraser(), huaman()]
    }

    /// The configuration that nodes read.
    pub fn config(&self, rollout: Option<(&str, &str)>) -> Config {
        let mut objects = Vec::new();
        for model in ["small", "medium", "large"] {
            let versions: Vec<_> = self
                .versions
                .iter()
                .filter(|one| one.model == model)
                .map(|one| {
                    json!({
                        "name": one.name,
                        "input_micros": one.input_micros,
                        "output_micros": one.output_micros,
                        "quality": one.prior,
                        "slots": one.slots,
                    })
                })
                .collect();
            objects.push(json!({ "model": { "name": model, "versions": versions } }));
        }
        if let Some((model, to)) = rollout {
            objects.push(json!({ "rollout": { "model": model, "to": to } }));
        }
        let objects = objects
            .into_iter()
            .map(|object| serde_json::from_value::<Object>(object).expect("a valid object"));
        Config::new(1, objects.collect())
    }
}

fn fraser() -> Site {
    Site {
        name: "Fraser & Lyle",
        zones: &ZONES,
        nodes: 7,
        // Proposals are read as they are made, so that they can't be rated first.
        tasks: tasks(false),
        versions: versions([8, 6, 6]),
        customers: customers(),
    }
}

fn huaman() -> Site {
    Site {
        name: "Huamán",
        zones: &ZONES[..3],
        nodes: 6,
        // Route plans are held until they are rated.
        tasks: tasks(true),
        versions: versions([4, 3, 3]),
        customers: customers(),
    }
}

/// A few large customers and many small ones.
fn customers() -> Vec<f64> {
    let weights = [30.0, 20.0, 15.0, 10.0, 5.0, 5.0, 5.0, 4.0, 3.0, 3.0];
    weights.iter().map(|weight| weight / 100.0).collect()
}

fn tasks(gated_drafts: bool) -> [Task; 3] {
    let tag = Task {
        name: "tag",
        share: 0.5,
        prompt: 300,
        tokens: 8.0,
        target: 0.9,
        deadline_ms: 3_000,
        gated: true,
    };
    let answer = Task {
        name: "answer",
        share: 0.35,
        prompt: 600,
        tokens: 120.0,
        deadline_ms: 10_000,
        ..tag
    };
    let draft = Task {
        name: "draft",
        share: 0.15,
        prompt: 2_000,
        tokens: 400.0,
        deadline_ms: 30_000,
        gated: gated_drafts,
        ..tag
    };
    [tag, answer, draft]
}

fn versions(servers: [u32; 3]) -> Vec<Version> {
    let small = Version {
        model: "small",
        name: "1",
        input_micros: 20,
        output_micros: 60,
        prior: 0.85,
        quality: [0.95, 0.85, 0.55],
        token_ms: 4.0,
        prompt_ms: 0.05,
        slots: 16,
        servers: servers[0],
    };
    let medium = Version {
        model: "medium",
        input_micros: 100,
        output_micros: 300,
        prior: 0.92,
        quality: [0.97, 0.94, 0.88],
        token_ms: 8.0,
        prompt_ms: 0.1,
        servers: servers[1],
        ..small
    };
    let large = Version {
        model: "large",
        input_micros: 400,
        output_micros: 1_200,
        prior: 0.97,
        quality: [0.985, 0.975, 0.96],
        token_ms: 15.0,
        prompt_ms: 0.2,
        servers: servers[2],
        ..small
    };
    vec![small, medium, large]
}

//! What is compared: baselines, and mechanisms switched off one at a time.

use policy::{placement, planner, rollout};
use std::time::Duration;

/// How versions are chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    Planned,
    Best,
    Cheapest,
}

/// How backend servers are chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Placement {
    Weighed,
    RoundRobin,
    LeastOutstanding,
}

/// One way to decide.
#[derive(Clone, Debug)]
pub struct Strategy {
    pub name: &'static str,
    pub choice: Choice,
    pub placement: Placement,
    pub cascades: bool,
    /// Whether ratings change estimates.
    pub learning: bool,
    /// Whether nodes exchange counts.
    pub exchange: bool,
    /// Whether requests that would be late are refused, and shares are fair.
    pub admission: bool,
    /// Whether plans know the wait before each version.
    pub waits: bool,
    pub planner: planner::Settings,
    pub place: placement::Settings,
}

impl Default for Strategy {
    fn default() -> Self {
        Self {
            name: "sardinebank",
            choice: Choice::Planned,
            placement: Placement::Weighed,
            cascades: true,
            learning: true,
            exchange: true,
            admission: true,
            waits: true,
            planner: planner::Settings::default(),
            place: placement::Settings::default(),
        }
    }
}

impl Strategy {
    /// Sardinebank and the baselines.
    pub fn baselines() -> Vec<Self> {
        let ours = Self::default();
        let baseline = Self {
            admission: false,
            ..ours.clone()
        };
        vec![
            ours.clone(),
            Self {
                name: "always-best",
                choice: Choice::Best,
                ..baseline.clone()
            },
            Self {
                name: "cheapest-allowed",
                choice: Choice::Cheapest,
                ..baseline
            },
            Self {
                name: "round robin",
                placement: Placement::RoundRobin,
                ..ours.clone()
            },
            Self {
                name: "least outstanding",
                placement: Placement::LeastOutstanding,
                ..ours
            },
        ]
    }

    /// Sardinebank with each mechanism switched off in turn.
    pub fn without_each() -> Vec<Self> {
        let ours = Self::default();
        let off = |change: &dyn Fn(&mut Self)| {
            let mut strategy = ours.clone();
            change(&mut strategy);
            strategy
        };
        vec![
            off(&|one| {
                one.name = "no cascades";
                one.cascades = false;
            }),
            off(&|one| {
                one.name = "no mixed plans";
                one.planner.quality_slack = 0.0;
            }),
            off(&|one| {
                one.name = "no learning";
                one.learning = false;
            }),
            off(&|one| {
                one.name = "no exchange";
                one.exchange = false;
            }),
            off(&|one| {
                one.name = "no watch";
                one.planner.rollout = blind();
            }),
            off(&|one| {
                one.name = "no exploration";
                one.planner.exploration = 0.0;
            }),
            off(&|one| {
                one.name = "no affinity";
                one.place.prefix_affinity = 0.0;
            }),
            off(&|one| {
                one.name = "no distance";
                one.place.cross_zone_penalty = 0.0;
            }),
            off(&|one| {
                one.name = "no admission";
                one.admission = false;
            }),
            off(&|one| {
                one.name = "no waits in plans";
                one.waits = false;
            }),
        ]
    }
}

/// A watch that never demotes.
fn blind() -> rollout::Settings {
    rollout::Settings {
        alarm_threshold: f64::INFINITY,
        cooldown: Duration::ZERO,
        ..Default::default()
    }
}

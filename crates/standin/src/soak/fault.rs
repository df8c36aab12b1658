//! What goes wrong from outside.

use crate::proxy::Faults;
use crate::site::WorkerFault;
use rand::Rng;
use rand::rngs::SmallRng;
use std::time::Duration;

/// Something that goes wrong for a while.
#[derive(Clone, Debug)]
pub enum Fault {
    /// A backend server misbehaves.
    Worker(usize, WorkerFault),
    /// The path to a backend server does.
    WorkerPath(usize, Faults),
    /// The path of a node to the store does.
    StorePath(usize, Faults),
    /// Open connections of a path to a backend server go silent for good; new ones work.
    Silence(usize),
    /// Open connections of a node to the store do.
    SilenceStore(usize),
    /// The store refuses all nodes.
    StoreDown,
    /// The store loses the answers of writes.
    StoreLost,
    /// The store forgets its history.
    Forget,
    /// A node stands still.
    Pause(usize),
    /// A node is killed, and started again at the end.
    Kill(usize),
    /// A node gets SIGTERM, and is started again at the end.
    Stop(usize),
    /// A backend server says that it leaves, and comes back as another start.
    Leave(usize),
    /// The configuration changes: a newer revision of the same.
    Configure,
    /// The availability zone is taken out, and back at the end.
    ZoneOut,
}

impl Fault {
    /// Draws a fault for a site of some nodes and backend servers.
    pub fn draw(rng: &mut SmallRng, nodes: usize, workers: usize) -> Self {
        let (node, worker) = (rng.random_range(0..nodes), rng.random_range(0..workers));
        match rng.random_range(0..16) {
            0..=3 => Self::Worker(worker, draw_worker(rng)),
            4 | 5 => Self::WorkerPath(worker, draw_path(rng)),
            6 => Self::StorePath(node, draw_path(rng)),
            7 => Self::Silence(worker),
            8 => Self::SilenceStore(node),
            9 => Self::StoreDown,
            10 => match rng.random() {
                true => Self::StoreLost,
                false => Self::Forget,
            },
            11 => Self::Pause(node),
            12 => Self::Kill(node),
            13 => Self::Stop(node),
            14 => Self::Leave(worker),
            _ => match rng.random_range(0..4) {
                0 => Self::ZoneOut,
                _ => Self::Configure,
            },
        }
    }
}

fn draw_worker(rng: &mut SmallRng) -> WorkerFault {
    match rng.random_range(0..11) {
        0 => WorkerFault::Full,
        1 => WorkerFault::Reset,
        2 => WorkerFault::Fail(500),
        3 => WorkerFault::Mute,
        4 => WorkerFault::Break(rng.random_range(1..5)),
        5 => WorkerFault::Stall(rng.random_range(0..5)),
        6 => WorkerFault::Crossed,
        7 => WorkerFault::CrossedRefusal,
        8 => WorkerFault::Leaving,
        9 => WorkerFault::Pause(rng.random_range(100..1500)),
        _ => WorkerFault::Slow(Duration::from_millis(rng.random_range(50..400))),
    }
}

fn draw_path(rng: &mut SmallRng) -> Faults {
    match rng.random_range(0..4) {
        0 => Faults::black_hole(),
        1 => Faults::lose_answers(),
        2 => Faults::refused(),
        _ => Faults::delay(Duration::from_millis(rng.random_range(20..300))),
    }
}

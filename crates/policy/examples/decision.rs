//! Measures the time and allocations of each decision, with 20 and with 12,000 backend servers.

use contract::Version;
use policy::placement::{Load, Pool, Query as Placement, Settings as PlaceSettings};
use policy::planner::{Offer, Planner, Query, Rating, Settings};
use policy::quality::Subject;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System;
use std::hint::black_box;
use std::time::{Duration, Instant};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Decisions per measurement.
const COUNT: u32 = 20_000;

/// Sizes of the pools of backend servers.
const SIZES: [usize; 2] = [20, 12_000];

/// Numbers of versions that a contract allows.
const VERSIONS: [usize; 2] = [3, 10];

fn main() {
    for count in VERSIONS {
        plan(count);
    }
    for size in SIZES {
        place(size, "placement, all free", |_| true);
        place(size, "placement, one in ten free", |index| index % 10 == 0);
        place(size, "placement, none free", |_| false);
    }
}

fn measure(name: &str, mut decide: impl FnMut()) {
    let region = Region::new(ALLOCATOR);
    let started = Instant::now();
    for _ in 0..COUNT {
        decide();
    }
    let nanoseconds = started.elapsed().as_nanos() / u128::from(COUNT);
    let allocations = region.change().allocations as f64 / f64::from(COUNT);
    println!("{name}: {nanoseconds} ns, {allocations:.1} allocations");
}

fn plan(count: usize) {
    let now = Instant::now();
    let versions: Vec<Version> = (0..count).map(version).collect();
    let offers: Vec<_> = versions
        .iter()
        .map(|version| Offer {
            model: "model",
            version,
            ready: true,
            wait: Duration::ZERO,
        })
        .collect();
    let query = Query {
        customer: "customer",
        task: "answer",
        rating_latency: Some(Duration::from_millis(40)),
        ..Default::default()
    };
    let mut planner = Planner::new(Settings::default());
    for version in &versions {
        let subject = Subject {
            model: "model",
            version: &version.name,
            task: "answer",
            customer: "customer",
        };
        planner.record_answer(now, subject, 100, Duration::from_millis(800));
        for turn in 0..100 {
            let good = turn % 10 != 0;
            let rating = Rating {
                subject,
                escalated: false,
                good,
            };
            planner.record_rating(now, &rating);
        }
    }
    let mut rng = SmallRng::seed_from_u64(1);
    measure(&format!("plan over {count} versions"), || {
        let _ = black_box(planner.plan(now, &query, &offers, &mut rng));
    });
}

fn version(index: usize) -> Version {
    let price = 20 * (index + 1);
    let quality = 0.8 + 0.19 * index as f64 / 10.0;
    let text = format!(
        r#"{{"name":"{index}","input_micros":{price},"output_micros":{price},"quality":{quality}}}"#
    );
    serde_json::from_str(&text).expect("a valid version")
}

fn place(size: usize, name: &str, free: impl Fn(usize) -> bool) {
    let servers = (0..size).map(|index| {
        let name = format!(
            "10.{}.{}.{}:80",
            index / 65_536,
            index / 256 % 256,
            index % 256
        );
        (name, format!("zone-{}", index % 11))
    });
    let pool = Pool::new(PlaceSettings::default(), servers);
    let load = |index: usize| {
        black_box(free(index)).then_some(Load {
            free_slots: 1,
            capacity: 16,
            reported: 8,
            ..Default::default()
        })
    };
    let mut rng = SmallRng::seed_from_u64(1);
    let mut key = 0_u64;
    measure(&format!("{name}, of {size}"), || {
        key += 1;
        let query = Placement {
            prefix_hash: Some(key.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            zone: "zone-1",
            ..Default::default()
        };
        black_box(pool.choose(&query, load, &mut rng));
    });
}

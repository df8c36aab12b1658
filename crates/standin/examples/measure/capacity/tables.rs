//! Tables of one node, in this process: bytes and time by the number of entries.

use super::row::Row;
use crate::ALLOCATOR;
use crate::control::members::member;
use contract::{Config, Contract, Key, Object, Owner};
use limits::slot::{Grant, Holder, Home, Request, Server as Capacity, Settings};
use node::fleet::{Kind, Server};
use node::schedule::Pools;
use policy::placement::{Load, Query};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use standin::Error;
use stats_alloc::Region;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Backend servers, up to the letter's number of workers.
const BACKENDS: [usize; 4] = [100, 1_000, 4_000, 12_000];
/// Objects of the configuration.
const OBJECTS: [usize; 4] = [10, 100, 1_000, 12_000];
const MEMBERS: [usize; 4] = [7, 100, 300, 1_100];
/// Nodes that hold grants of one backend server.
const OWNERS: [usize; 4] = [1, 4, 16, 64];
/// Backend servers of one home while its owners are counted.
const HOME_BACKENDS: usize = 100;
const VERSIONS: usize = 10;
const ZONES: usize = 11;
const SLOTS: u32 = 16;
/// Repetitions of each timed step.
const REPEATS: u32 = 2_000;
/// Repetitions of steps whose time grows with the table.
const SCANS: u32 = 20;

/// Measures all tables.
pub fn measure() -> Result<Vec<Row>, Error> {
    let mut rows = vec![
        grow(
            "entry node",
            "pools: memory",
            "backend server",
            "B",
            BACKENDS,
            |count| bytes(|| pools(count)),
        ),
        grow(
            "entry node",
            "pools: one choice",
            "backend server",
            "ns",
            BACKENDS,
            choice,
        ),
        grow(
            "entry node",
            "pools: rebuilt",
            "backend server",
            "ns",
            BACKENDS,
            |count| time(SCANS, || pools(count)),
        ),
        grow(
            "entry node",
            "grants held: memory",
            "backend server",
            "B",
            BACKENDS,
            |count| bytes(|| holder(count)),
        ),
        grow(
            "entry node",
            "grants held: one look for due ones",
            "backend server",
            "ns",
            BACKENDS,
            due,
        ),
        grow(
            "home of backend servers",
            "books: memory",
            "backend server",
            "B",
            BACKENDS,
            |count| bytes(|| home(count, 1)),
        ),
        grow(
            "home of backend servers",
            "books: memory of 100",
            "owner",
            "B",
            OWNERS,
            |count| bytes(|| home(HOME_BACKENDS, count)),
        ),
        grow(
            "home of backend servers",
            "books: one request",
            "backend server",
            "ns",
            BACKENDS,
            request,
        ),
    ];
    rows.extend([
        grow(
            "entry node",
            "configuration: memory",
            "customer",
            "B",
            OBJECTS,
            |count| bytes(|| config(count)),
        ),
        grow(
            "entry node",
            "configuration: memory",
            "member",
            "B",
            MEMBERS,
            |count| {
                bytes(|| {
                    Config::new(
                        1,
                        (0..count)
                            .map(|index| Object::Member(member(index)))
                            .collect(),
                    )
                })
            },
        ),
        grow(
            "entry node",
            "configuration: one change copied and applied",
            "object",
            "ns",
            OBJECTS,
            change,
        ),
        grow(
            "entry node",
            "configuration: copied",
            "object",
            "ns",
            OBJECTS,
            |count| {
                let config = config(count);
                time(SCANS, || config.clone())
            },
        ),
    ]);
    Ok(rows)
}

fn grow<const N: usize>(
    role: &'static str,
    figure: &'static str,
    per: &'static str,
    unit: &'static str,
    counts: [usize; N],
    value: impl Fn(usize) -> f64,
) -> Row {
    let points = counts.map(|count| (count as f64, value(count)));
    Row::new(role, figure, per, unit, points.to_vec())
}

/// Bytes that a value keeps.
fn bytes<T>(build: impl FnOnce() -> T) -> f64 {
    let region = Region::new(ALLOCATOR);
    let value = black_box(build());
    let change = region.change();
    drop(value);
    change.bytes_allocated as f64 - change.bytes_deallocated as f64
}

/// Nanoseconds of a step.
fn time<T>(repeats: u32, mut step: impl FnMut() -> T) -> f64 {
    let begun = Instant::now();
    for _ in 0..repeats {
        black_box(step());
    }
    begun.elapsed().as_nanos() as f64 / f64::from(repeats)
}

fn name(index: usize) -> String {
    format!(
        "10.{}.{}.{}:8000",
        index >> 16,
        (index >> 8) & 255,
        index & 255
    )
}

fn zone(index: usize) -> String {
    format!("zone-{}", index % ZONES)
}

fn pools(count: usize) -> Pools {
    let server = |index| Server {
        id: name(index),
        zone: zone(index),
        kind: Kind::Engine {
            model: format!("model-{}", index % VERSIONS),
            version: "1".to_owned(),
        },
        leaving: false,
    };
    let list = (0..count).map(server).collect();
    Pools::new(&policy::placement::Settings::default(), Arc::new(list))
}

fn choice(count: usize) -> f64 {
    let pools = pools(count);
    let Some(pool) = pools.version("model-0", "1") else {
        return f64::NAN;
    };
    let mut rng = SmallRng::seed_from_u64(1);
    let load = |_| {
        Some(Load {
            free_slots: 1,
            capacity: SLOTS,
            ..Load::default()
        })
    };
    let mut key = 0;
    time(REPEATS, || {
        key += 1;
        let query = Query {
            prefix_hash: Some(key),
            zone: "zone-0",
            ..Query::default()
        };
        pool.choose(&query, load, &mut rng)
    })
}

/// Holds a grant of each backend server.
fn holder(count: usize) -> Holder {
    let settings = Settings::default();
    let ttl = settings.ttl;
    let mut holder = Holder::new(settings);
    let now = Instant::now();
    for index in 0..count {
        let _ = holder.acquire(now, &name(index));
    }
    for (backend, request) in holder.requests_due(now) {
        let grant = Grant {
            sequence: request.sequence,
            slots: 1,
            ttl,
            fence: 1,
        };
        holder.grant(&backend, &grant);
    }
    holder
}

fn due(count: usize) -> f64 {
    let mut holder = holder(count);
    let now = Instant::now();
    time(SCANS, || holder.requests_due(now))
}

/// Home of backend servers, each with a grant for each owner.
fn home(count: usize, owners: usize) -> Home {
    let settings = Settings::default();
    let handover = settings.handover_wait();
    let mut home = Home::new(settings);
    let now = Instant::now();
    let later = now + handover + Duration::from_secs(1);
    for index in 0..count {
        home.assign(&name(index), Capacity::without_cold_start(SLOTS), 1, []);
    }
    home.mark_accepted(now, 1);
    for owner in 0..owners {
        let owner = Owner::new(&format!("node-{owner:04}"), 1);
        for index in 0..count {
            home.request(later, &owner, &name(index), &wish(1), true);
        }
    }
    home
}

fn wish(sequence: u64) -> Request {
    Request {
        sequence,
        wanted: 1,
        ..Request::default()
    }
}

fn request(count: usize) -> f64 {
    let mut home = home(count, 1);
    let owner = Owner::new("node-0000", 1);
    let names: Vec<_> = (0..count).map(name).collect();
    let later = Instant::now() + Settings::default().handover_wait() + Duration::from_secs(2);
    let mut sequence = 1;
    time(REPEATS, || {
        sequence += 1;
        let backend = &names[sequence as usize % count];
        home.request(later, &owner, backend, &wish(sequence), true)
    })
}

/// A configuration of contracts.
fn config(count: usize) -> Config {
    let contract = |index: usize| Contract {
        customer: format!("customer-{index:05}"),
        keys: vec![Key::new("k1", &format!("customer-key-{index:05}"))],
        models: vec!["small".to_owned(), "large@1".to_owned()],
        priority: 5,
        services: vec!["reservations".to_owned()],
        spend: None,
        tasks: Default::default(),
        weight: 1,
    };
    let objects = (0..count).map(|index| Object::Contract(contract(index)));
    Config::new(1, objects.collect())
}

/// What a node does with each revision: a copy, and one object put.
fn change(count: usize) -> f64 {
    let mut config = config(count);
    let body = r#"{"zone":{"name":"a","out":true}}"#;
    time(SCANS, || {
        let mut next = config.clone();
        let applied = next.apply(config.revision() + 1, &[("zone/a", Some(body))]);
        config = next;
        applied
    })
}

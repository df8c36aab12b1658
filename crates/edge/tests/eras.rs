//! Replicas of a store that is restored at any moment, with late answers, restarts and other nodes.

use edge::app::{Mirror, Update};
use platform::store::{Page, Row};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use route::{Era, Position};
use std::collections::BTreeMap;

/// Nodes that replicate the table.
const NODES: usize = 4;
/// Steps of a run; the store is restored about twenty times in it.
const STEPS: usize = 600;
/// Rows of the table.
const KEYS: [&str; 5] = ["a", "b", "c", "d", "e"];

#[derive(Clone, Default)]
struct Table {
    /// Values, with the numbers of their last changes; none was removed.
    rows: BTreeMap<&'static str, (Option<u64>, u64)>,
    number: u64,
    /// Changes up to here are forgotten.
    forgotten: u64,
}

/// The store: a table, its era and a copy.
#[derive(Default)]
struct Store {
    table: Table,
    copy: Table,
    era: Era,
    writes: u64,
}

impl Store {
    fn write(&mut self, key: &'static str, is_removal: bool) {
        self.writes += 1;
        self.table.number += 1;
        let value = (!is_removal).then_some(self.writes);
        self.table.rows.insert(key, (value, self.table.number));
    }

    fn restore(&mut self) {
        self.table = self.copy.clone();
        self.era += 1;
    }

    fn page(&self, includes: impl Fn(Option<u64>, u64) -> bool) -> Page {
        let position = |number| Position {
            era: self.era,
            number,
        };
        let rows = self.table.rows.iter();
        let rows = rows.filter(|(_, (value, number))| includes(*value, *number));
        let rows = rows.map(|(key, (value, number))| Row {
            key: (*key).to_owned(),
            value: value.map(|value| value.to_string().into_bytes()),
            position: position(*number),
            removed: value.is_none(),
        });
        Page {
            rows: rows.collect(),
            position: position(self.table.number),
            ..Page::default()
        }
    }

    fn full(&self) -> Page {
        self.page(|value, _| value.is_some())
    }

    /// Answers a call for changes; none if their history is missing.
    fn changes(&self, after: Position) -> Option<Page> {
        let known = self.table.forgotten..=self.table.number;
        known
            .contains(&after.number)
            .then(|| self.page(|_, number| number > after.number))
    }

    /// What a node's next call is answered.
    fn answer(&self, mirror: &Mirror) -> Update {
        let after = mirror.position();
        let changes = after.and_then(|after| {
            let page = self.changes(after)?;
            after.is_continued_in(page.position.era).then_some(page)
        });
        match changes {
            Some(page) => Update { full: false, page },
            None => Update {
                full: true,
                page: self.full(),
            },
        }
    }
}

fn apply(mirror: &mut Mirror, update: Update) {
    match update.full {
        true => drop(mirror.replace(update.page)),
        false => drop(mirror.update(update.page)),
    }
}

/// Sends a node what it lacks of another one, if that has told of newer changes.
fn fetch(mirrors: &[Mirror], to: usize, from: usize) -> Option<Update> {
    let after = mirrors[to].position().unwrap_or_default();
    let is_newer = mirrors[from].newest() > after;
    is_newer.then(|| mirrors[from].changes_since(after))?
}

fn assert_current(store: &Store, mirror: &Mirror, seed: u64) {
    for key in KEYS {
        let value = store.table.rows.get(key).and_then(|(value, _)| *value);
        let value = value.map(|value| value.to_string().into_bytes());
        let known = mirror.get(key).and_then(|row| row.value.clone());
        assert_eq!(known, value, "row {key}, seed {seed}");
    }
    let position = mirror.position().unwrap();
    let newest = (store.era, store.table.number);
    assert_eq!((position.era, position.number), newest, "seed {seed}");
}

fn run(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut store = Store {
        era: seed % 2,
        ..Store::default()
    };
    let mut mirrors = vec![Mirror::default(); NODES];
    if seed.is_multiple_of(3) {
        for mirror in &mut mirrors {
            mirror.replace(Page::default());
        }
    }
    // Answers under way, to these nodes.
    let mut late: Vec<(usize, Update)> = Vec::new();
    for _ in 0..STEPS {
        let (node, other) = (rng.random_range(0..NODES), rng.random_range(0..NODES));
        let is_late = rng.random_bool(0.2);
        let update = match rng.random_range(0..100) {
            0..40 => {
                let key = KEYS.choose(&mut rng).unwrap();
                store.write(key, rng.random_bool(0.3));
                None
            }
            40..45 => {
                store.copy = store.table.clone();
                None
            }
            45..48 => {
                store.restore();
                None
            }
            48..50 => {
                store.table.forgotten = store.table.number;
                None
            }
            50..52 => {
                mirrors[node] = Mirror::default();
                late.retain(|(to, _)| *to != node);
                None
            }
            52..60 if !late.is_empty() => {
                let (to, update) = late.swap_remove(rng.random_range(0..late.len()));
                apply(&mut mirrors[to], update);
                None
            }
            60..80 => Some(store.answer(&mirrors[node])),
            _ => fetch(&mirrors, node, other),
        };
        match update {
            Some(update) if is_late => late.push((node, update)),
            Some(update) => apply(&mut mirrors[node], update),
            None => (),
        }
    }
    for (to, update) in late {
        apply(&mut mirrors[to], update);
    }
    for mirror in &mut mirrors {
        apply(mirror, store.answer(mirror));
        assert_current(&store, mirror, seed);
    }
    // A last restore and a change, which one node reads and the others learn from it.
    store.restore();
    store.write("a", false);
    let answer = store.answer(&mirrors[0]);
    apply(&mut mirrors[0], answer);
    for node in 1..NODES {
        let update = fetch(&mirrors, node, 0).expect("a later era is newer");
        apply(&mut mirrors[node], update);
        assert_current(&store, &mirrors[node], seed);
    }
}

/// Seeds that are played; more with `ERAS_SEEDS`.
const SEEDS: u64 = 300;

/// Guards against a replica that differs from the store for good after a restore.
#[test]
fn replicas_agree_with_a_store_that_was_restored() {
    let seeds = std::env::var("ERAS_SEEDS").ok();
    let seeds = seeds.and_then(|seeds| seeds.parse().ok()).unwrap_or(SEEDS);
    (0..seeds).for_each(run);
}

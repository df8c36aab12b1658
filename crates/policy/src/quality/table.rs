//! Quality of all versions.

use crate::quality::ratings::{Entry, Ratings};
use crate::quality::{Cell, Counts, Delta, Estimate, Origin, Settings, Subject};
use contract::{Map, ModelId, TaskId, VersionId};
use std::time::Instant;

/// Total count below which an entry is dropped, in ratings.
const NEGLIGIBLE_COUNT: f64 = 0.01;

/// Decayed ratings of each version by task and customer, from this node and its peers.
#[derive(Debug, Default)]
pub struct Table {
    settings: Settings,
    sequence: u64,
    models: Map<ModelId, Map<VersionId, Map<TaskId, Ratings>>>,
}

impl Table {
    /// Creates an empty table.
    ///
    /// ```
    /// use policy::quality::{Settings, Table};
    /// let table = Table::new(Settings { prior_weight: 4.0, ..Default::default() });
    /// assert_eq!(table.sequence(), 0);
    /// ```
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Default::default()
        }
    }

    /// Returns the sequence number of the last change to this node's own counts.
    ///
    /// ```
    /// assert_eq!(policy::quality::Table::default().sequence(), 0);
    /// ```
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Counts a rating that this node received.
    ///
    /// ```
    /// use policy::quality::{Subject, Table};
    /// let now = std::time::Instant::now();
    /// let subject = Subject { model: "small", version: "1", task: "tag", customer: "c" };
    /// let mut table = Table::default();
    /// for _ in 0..90 {
    ///     table.observe(now, subject, true);
    /// }
    /// assert!(table.estimate(now, subject, 0.5).mean > 0.9);
    /// ```
    pub fn observe(&mut self, now: Instant, subject: Subject, good: bool) {
        let half_life = self.settings.half_life;
        let counts = Counts::from_rating(good);
        self.sequence += 1;
        let sequence = self.sequence;
        let ratings = self.ratings_mut(now, subject);
        let entry = ratings.entry(now, subject.customer);
        entry.own.add(now, half_life, counts);
        entry.total.add(now, half_life, counts);
        entry.sequence = sequence;
        ratings.total.add(now, half_life, counts);
    }

    /// Merges a peer's cell and returns the difference to the known counts. Only a cell with a
    /// newer sequence number than the last one of the same origin has an effect, so merging is
    /// idempotent and independent of the order. Counts that aren't finite are ignored.
    ///
    /// ```
    /// use policy::quality::{Cell, Origin, Table};
    /// let now = std::time::Instant::now();
    /// let origin = Origin { node: "n2".into(), incarnation: 1 };
    /// let cell = Cell {
    ///     model: "small".into(), version: "1".into(), task: "tag".into(), customer: "c".into(),
    ///     sequence: 1, good: 3.0, bad: 1.0,
    /// };
    /// let mut table = Table::default();
    /// assert!(table.merge(now, &origin, &cell).is_some());
    /// assert!(table.merge(now, &origin, &cell).is_none());
    /// ```
    pub fn merge(&mut self, now: Instant, origin: &Origin, cell: &Cell) -> Option<Delta> {
        let half_life = self.settings.half_life;
        let counts = Counts {
            good: cell.good,
            bad: cell.bad,
        };
        if !counts.good.is_finite() || !counts.bad.is_finite() {
            return None;
        }
        let counts = counts.clamped();
        let ratings = self.ratings_mut(now, cell.subject());
        let entry = ratings.entry(now, &cell.customer);
        let delta = entry.replace(now, half_life, origin, cell.sequence, counts)?;
        ratings.total.add(now, half_life, delta.counts);
        Some(delta)
    }

    /// Returns this node's own cells that changed after a sequence number.
    ///
    /// ```
    /// use policy::quality::{Subject, Table};
    /// let now = std::time::Instant::now();
    /// let subject = Subject { model: "small", version: "1", task: "tag", customer: "c" };
    /// let mut table = Table::default();
    /// table.observe(now, subject, true);
    /// assert_eq!(table.cells(now, 0).len(), 1);
    /// assert!(table.cells(now, table.sequence()).is_empty());
    /// ```
    pub fn cells(&self, now: Instant, after: u64) -> Vec<Cell> {
        let mut cells = Vec::new();
        for (subject, entry) in self.entries() {
            if entry.sequence <= after {
                continue;
            }
            let counts = entry.own.counts_at(now, self.settings.half_life);
            cells.push(Cell {
                model: subject.model.to_owned(),
                version: subject.version.to_owned(),
                task: subject.task.to_owned(),
                customer: subject.customer.to_owned(),
                sequence: entry.sequence,
                good: counts.good,
                bad: counts.bad,
            });
        }
        cells
    }

    /// Estimates the quality of a version for a customer from the prior, the ratings of other
    /// customers with a capped weight, and the customer's own ratings. The weight of the others
    /// decreases as their ratings disagree with the customer's own.
    ///
    /// ```
    /// use policy::quality::{Subject, Table};
    /// let now = std::time::Instant::now();
    /// let subject = Subject { model: "small", version: "1", task: "tag", customer: "c" };
    /// assert_eq!(Table::default().estimate(now, subject, 0.75).mean, 0.75);
    /// ```
    pub fn estimate(&self, now: Instant, subject: Subject, prior: f64) -> Estimate {
        let settings = &self.settings;
        let prior = Counts {
            good: prior * settings.prior_weight,
            bad: (1.0 - prior) * settings.prior_weight,
        };
        let Some(ratings) = self.ratings(subject) else {
            return Estimate::beta(prior, settings.bound_deviations);
        };
        let own = ratings
            .customers
            .get(subject.customer)
            .map(|entry| entry.total.counts_at(now, settings.half_life))
            .unwrap_or_default();
        let others = (ratings.total.counts_at(now, settings.half_life) - own).clamped();
        let max_weight =
            settings.max_shared_weight / disagreement(own, others, settings.prior_weight);
        let factor = (max_weight / others.total()).min(1.0);
        let counts = prior + own + others.scaled(factor);
        Estimate::beta(counts, settings.bound_deviations)
    }

    /// Returns the decayed ratings of a version for a task, over all customers and nodes.
    ///
    /// ```
    /// use policy::quality::{Counts, Subject, Table};
    /// let now = std::time::Instant::now();
    /// let subject = Subject { model: "small", version: "1", task: "tag", customer: "c" };
    /// assert_eq!(Table::default().counts(now, subject), Counts::default());
    /// ```
    pub fn counts(&self, now: Instant, subject: Subject) -> Counts {
        self.ratings(subject)
            .map(|ratings| ratings.total.counts_at(now, self.settings.half_life))
            .unwrap_or_default()
    }

    /// Drops counts that have decayed to almost nothing.
    ///
    /// ```
    /// policy::quality::Table::default().prune(std::time::Instant::now());
    /// ```
    pub fn prune(&mut self, now: Instant) {
        let half_life = self.settings.half_life;
        let tasks = self.models.values_mut().flat_map(Map::values_mut);
        for ratings in tasks.flat_map(Map::values_mut) {
            for entry in ratings.customers.values_mut() {
                entry.peers.retain(|_, peer| {
                    peer.counter.counts_at(now, half_life).total() > NEGLIGIBLE_COUNT
                });
            }
            ratings.customers.retain(|_, entry| {
                entry.total.counts_at(now, half_life).total() > NEGLIGIBLE_COUNT
            });
        }
    }

    fn ratings(&self, subject: Subject) -> Option<&Ratings> {
        self.models
            .get(subject.model)?
            .get(subject.version)?
            .get(subject.task)
    }

    fn ratings_mut(&mut self, now: Instant, subject: Subject) -> &mut Ratings {
        self.models
            .entry(subject.model.to_owned())
            .or_default()
            .entry(subject.version.to_owned())
            .or_default()
            .entry(subject.task.to_owned())
            .or_insert_with(|| Ratings::new(now))
    }

    fn entries(&self) -> impl Iterator<Item = (Subject<'_>, &Entry)> {
        self.models.iter().flat_map(|(model, versions)| {
            versions.iter().flat_map(move |(version, tasks)| {
                tasks.iter().flat_map(move |(task, ratings)| {
                    ratings.customers.iter().map(move |(customer, entry)| {
                        let subject = Subject {
                            model,
                            version,
                            task,
                            customer,
                        };
                        (subject, entry)
                    })
                })
            })
        })
    }
}

/// Returns how far a customer's ratings are from those of the others: the squared distance of the
/// shares in standard errors, and 1 within one standard error. The customer's share is smoothed
/// towards the others' with the given weight, because a few ratings prove little.
fn disagreement(own: Counts, others: Counts, smoothing: f64) -> f64 {
    let total = others.total();
    if total <= 0.0 || own.total() <= 0.0 {
        return 1.0;
    }
    // Laplace smoothing: without it, a share of exactly 0 or 1 would have no variance.
    let share = (others.good + 1.0) / (total + 2.0);
    let weight = own.total() + smoothing;
    let own_share = (own.good + share * smoothing) / weight;
    let variance = share * (1.0 - share) / weight;
    ((own_share - share).powi(2) / variance).max(1.0)
}

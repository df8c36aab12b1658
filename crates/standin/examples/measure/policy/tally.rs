//! What became of the requests of one run.

use std::time::Duration;

/// What became of one request.
#[derive(Clone, Copy, Debug)]
pub enum Outcome {
    /// Not run, and the caller was told so.
    Refused,
    /// Still waiting long after the last request came.
    Unfinished,
    Answered(Answer),
}

/// A whole answer.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    pub took: Duration,
    pub good: bool,
    pub late: bool,
    /// Version whose answer the caller got.
    pub version: usize,
    pub session: bool,
}

/// One request with its outcome.
#[derive(Clone, Copy, Debug)]
pub struct Record {
    pub at: Duration,
    pub customer: usize,
    pub task: usize,
    pub cost: u64,
    pub outcome: Outcome,
}

/// A version's change of standing at a node.
#[derive(Clone, Debug)]
pub struct Turn {
    pub at: Duration,
    pub version: String,
    pub what: String,
}

/// What became of the requests of one run.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub length: Duration,
    pub records: Vec<Record>,
    pub turns: Vec<Turn>,
    /// Times of the ratings of the version that turned bad, since it did.
    pub ratings: Vec<Duration>,
    pub cold_overruns: u32,
}

impl Tally {
    /// The records from a time on, up to another.
    pub fn between(&self, from: Duration, to: Duration) -> Self {
        let mut part = self.clone();
        part.records
            .retain(|record| (from..to).contains(&record.at));
        part.length = to - from;
        part
    }

    pub fn answers(&self) -> impl Iterator<Item = (&Record, &Answer)> {
        self.records
            .iter()
            .filter_map(|record| match &record.outcome {
                Outcome::Answered(answer) => Some((record, answer)),
                Outcome::Refused | Outcome::Unfinished => None,
            })
    }

    /// Cost of an answer in micro-units of money; work without an answer is counted too.
    pub fn cost(&self) -> f64 {
        let cost: u64 = self.records.iter().map(|record| record.cost).sum();
        cost as f64 / self.answers().count().max(1) as f64
    }

    /// Share of good answers.
    pub fn good(&self) -> f64 {
        share(self.answers().map(|(_, answer)| answer.good))
    }

    /// Share of good answers at a task.
    pub fn good_at(&self, task: usize) -> f64 {
        let answers = self.answers().filter(|(record, _)| record.task == task);
        share(answers.map(|(_, answer)| answer.good))
    }

    pub fn refused(&self) -> f64 {
        share(
            self.records
                .iter()
                .map(|record| matches!(record.outcome, Outcome::Refused)),
        )
    }

    /// Share of late answers, of those that weren't refused.
    pub fn late(&self) -> f64 {
        let late = self
            .records
            .iter()
            .filter_map(|record| match record.outcome {
                Outcome::Refused => None,
                Outcome::Unfinished => Some(true),
                Outcome::Answered(answer) => Some(answer.late),
            });
        share(late)
    }

    /// Good answers in time a second.
    pub fn goodput(&self) -> f64 {
        let useful = self
            .answers()
            .filter(|(_, answer)| answer.good && !answer.late);
        useful.count() as f64 / self.length.as_secs_f64()
    }

    /// Milliseconds that a share of a task's answers keep.
    pub fn latency(&self, task: usize, share: f64) -> u64 {
        let mut times: Vec<_> = self
            .answers()
            .filter(|(record, _)| record.task == task)
            .map(|(_, answer)| answer.took)
            .collect();
        times.sort_unstable();
        let index = (times.len() as f64 * share) as usize;
        let found = times.get(index.min(times.len().saturating_sub(1)));
        found.map_or(0, |time| time.as_millis() as u64)
    }

    /// Share of the requests of each customer that were answered in time; the least of them.
    pub fn least_served(&self, customers: impl Iterator<Item = usize>) -> f64 {
        let served =
            |customer| {
                let mine = self
                    .records
                    .iter()
                    .filter(|record| record.customer == customer);
                share(mine.map(
                    |record| matches!(record.outcome, Outcome::Answered(answer) if !answer.late),
                ))
            };
        customers.map(served).fold(1.0, f64::min)
    }

    /// Share of the answers whose customer got too few good ones at the task: below the target by
    /// more than two standard errors.
    pub fn missed(&self, targets: &[f64], customers: usize) -> f64 {
        let mut missed = 0;
        for (task, target) in targets.iter().enumerate() {
            for customer in 0..customers {
                let answers = self
                    .answers()
                    .filter(|(record, _)| record.task == task && record.customer == customer);
                let rated: Vec<_> = answers.map(|(_, answer)| answer.good).collect();
                let error = (target * (1.0 - target) / rated.len().max(1) as f64).sqrt();
                if share(rated.iter().copied()) < target - 2.0 * error {
                    missed += rated.len();
                }
            }
        }
        missed as f64 / self.answers().count().max(1) as f64
    }
}

pub fn share(hits: impl Iterator<Item = bool>) -> f64 {
    let (count, hits) = hits.fold((0_u64, 0_u64), |(count, all), hit| {
        (count + 1, all + u64::from(hit))
    });
    hits as f64 / count.max(1) as f64
}

//! Ratings, and what nodes tell each other of them.

use super::*;

impl<'a> World<'a> {
    /// The rating of a first answer is in: it goes out, or the better version takes over.
    pub(super) fn gate(&mut self, index: usize) {
        self.learn(index);
        let flight = self.flights.get_mut(&index).expect("a gated request");
        if flight.good {
            self.deliver(index);
            self.flights.remove(&index);
            return;
        }
        flight.version = flight.then.expect("a cascade");
        flight.escalated = true;
        flight.begun = self.now;
        self.enter(index);
    }

    pub(super) fn rate(&mut self, index: usize) {
        self.learn(index);
        self.flights.remove(&index);
    }

    pub(super) fn learn(&mut self, index: usize) {
        if !self.strategy.learning {
            return;
        }
        let flight = self.flights[&index];
        let request = &self.requests[index];
        let name = customer(request.customer);
        let rating = Rating {
            subject: self.subject(&name, index, flight.version),
            escalated: flight.escalated,
            good: flight.good,
        };
        let now = self.instant();
        let turned = self
            .disturbance
            .turn
            .is_some_and(|(from, _)| self.now >= from);
        if turned && flight.version == 0 {
            self.tally.ratings.push(self.now);
        }
        let changes = self.nodes[request.node].planner.record_rating(now, &rating);
        self.note(changes);
    }

    pub(super) fn exchange(&mut self) {
        let now = self.instant();
        let mut cells = Vec::new();
        for (index, node) in self.nodes.iter_mut().enumerate() {
            let sequence = node.planner.sequence();
            cells.push((index, node.planner.cells(now, node.sent)));
            node.sent = sequence;
        }
        let mut changes = Vec::new();
        for (index, node) in self.nodes.iter_mut().enumerate() {
            changes.extend(node.planner.tick(now));
            if !self.strategy.exchange {
                continue;
            }
            for (from, cells) in cells.iter().filter(|(from, _)| *from != index) {
                let origin = Origin {
                    node: format!("n{from}"),
                    incarnation: 1,
                };
                for cell in cells {
                    changes.extend(node.planner.merge(now, &origin, cell));
                }
            }
        }
        self.note(changes);
    }

    pub(super) fn note(&mut self, changes: Vec<Transition>) {
        let at = self.now;
        let turns = changes.into_iter().map(|change| Turn {
            at,
            version: format!("{}@{}", change.model, change.version),
            what: format!("{:?}", change.event),
        });
        self.tally.turns.extend(turns);
    }

    pub(super) fn subject<'b>(&self, name: &'b str, index: usize, version: usize) -> Subject<'b>
    where
        'a: 'b,
    {
        let version = &self.site.versions[version];
        Subject {
            model: version.model,
            version: version.name,
            task: self.site.tasks[self.requests[index].task].name,
            customer: name,
        }
    }
}

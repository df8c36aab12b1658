//! How requests end.

use super::*;

impl World<'_> {
    /// Records the requests that still wait.
    pub(super) fn abandon(&mut self) {
        let waiting: Vec<_> = self
            .flights
            .iter()
            .filter(|(_, flight)| !flight.delivered)
            .map(|(index, flight)| (*index, flight.cost))
            .collect();
        for (index, cost) in waiting {
            self.record(index, cost, Outcome::Unfinished);
        }
    }

    pub(super) fn finish(&mut self, index: usize, server: usize) {
        self.servers[server].finish();
        let request = &self.requests[index];
        let mut flight = self.flights[&index];
        let spec = &self.site.versions[flight.version];
        let took = self.now.saturating_sub(flight.begun);
        let quality = match self.disturbance.turn {
            Some((from, bad)) if flight.version == 0 && self.now >= from => bad,
            _ => spec.quality[request.task],
        };
        flight.good = request.good(self.normal, flight.version, quality);
        let prompt = self.site.tasks[request.task].prompt;
        let micros = prompt * spec.input_micros + request.tokens * spec.output_micros;
        flight.cost += micros.div_ceil(1_000);
        self.flights.insert(index, flight);
        let name = customer(request.customer);
        let subject = self.subject(&name, index, flight.version);
        let now = self.instant();
        let node = &mut self.nodes[request.node];
        node.planner
            .record_answer(now, subject, request.tokens, took);
        node.queues[flight.version].complete(took);
        self.pump(request.node, flight.version);
        if flight.then.is_some() && !flight.escalated {
            let rating = RATING.mul_f64(0.5 + self.rng.random::<f64>());
            self.at(self.now + rating, Event::Gate(index));
            return;
        }
        self.deliver(index);
        if flight.rate && !self.rng.random_bool(LOST_RATINGS) {
            let late = LATE_RATING.mul_f64(self.rng.random());
            self.at(self.now + late, Event::Rate(index));
        } else {
            self.flights.remove(&index);
        }
    }

    pub(super) fn deliver(&mut self, index: usize) {
        let flight = self.flights.get_mut(&index).expect("a request under way");
        flight.delivered = true;
        let flight = *flight;
        let request = &self.requests[index];
        let task = &self.site.tasks[request.task];
        let took = self.now - request.at;
        if let Some(session) = request.session {
            let key = (request.customer, session);
            self.sessions.entry(key).or_insert(flight.version);
        }
        let answer = Answer {
            took,
            good: flight.good,
            late: took > Duration::from_millis(task.deadline_ms),
            version: flight.version,
            session: request.session.is_some(),
        };
        self.record(index, flight.cost, Outcome::Answered(answer));
    }

    pub(super) fn refuse(&mut self, index: usize) {
        let flight = self.flights.remove(&index);
        let cost = flight.map_or(0, |flight| flight.cost);
        // The caller of a cascade gets the first answer rather than none.
        match flight.filter(|flight| flight.escalated) {
            Some(flight) => {
                self.flights.insert(index, flight);
                self.deliver(index);
                self.flights.remove(&index);
            }
            None => self.record(index, cost, Outcome::Refused),
        }
    }

    pub(super) fn record(&mut self, index: usize, cost: u64, outcome: Outcome) {
        let request = &self.requests[index];
        self.tally.records.push(Record {
            at: request.at,
            customer: request.customer,
            task: request.task,
            cost,
            outcome,
        });
    }
}

//! From the queue before a version to a place at a server.

use super::*;

impl World<'_> {
    /// Versions that the strategy leaves to choose from, whether they have servers, and their waits.
    pub(super) fn offers(
        &self,
        index: usize,
        customer: &str,
        all: bool,
    ) -> Vec<(usize, bool, Duration)> {
        let request = &self.requests[index];
        let deadline = self.site.tasks[request.task].deadline_ms;
        let versions = 0..self.site.versions.len();
        let offers = versions.map(|version| {
            let ready = self
                .servers
                .iter()
                .any(|one| one.version == version && !one.out);
            let wait = match self.strategy.waits {
                true => {
                    let subject = self.subject(customer, index, version);
                    let node = &self.nodes[request.node];
                    let expected = node
                        .planner
                        .latencies(subject)
                        .map_or(RATING, |both| both.0);
                    node.queues[version].expected_wait(&admission::Request {
                        ticket: 0,
                        customer,
                        priority: 5,
                        weight: 1,
                        deadline: self.instant() + Duration::from_millis(deadline),
                        expected,
                    })
                }
                false => Duration::ZERO,
            };
            (version, ready, wait)
        });
        let offers: Vec<_> = offers.collect();
        let priors = &self.site.versions;
        let one = match self.strategy.choice {
            _ if all => None,
            Choice::Planned => None,
            Choice::Best => offers
                .iter()
                .max_by(|a, b| priors[a.0].prior.total_cmp(&priors[b.0].prior)),
            Choice::Cheapest => offers.iter().min_by_key(|one| priors[one.0].output_micros),
        };
        one.map_or_else(|| offers.clone(), |one| vec![*one])
    }

    /// Asks for leave to run at the version's servers.
    pub(super) fn enter(&mut self, index: usize) {
        let flight = self.flights[&index];
        let request = &self.requests[index];
        let task = &self.site.tasks[request.task];
        let name = customer(request.customer);
        let subject = self.subject(&name, index, flight.version);
        let now = self.instant();
        let capacity = self.capacity(flight.version);
        let node = &mut self.nodes[request.node];
        let expected = node
            .planner
            .latencies(subject)
            .map_or(RATING, |both| both.0);
        let due = self.start + request.at + Duration::from_millis(task.deadline_ms);
        let queue = &mut node.queues[flight.version];
        queue.resize(capacity);
        let entry = admission::Request {
            ticket: index as Ticket,
            customer: &name,
            priority: 5,
            weight: 1,
            deadline: due,
            expected,
        };
        match queue.admit(now, entry) {
            Ok(Admitted::Run) => self.start(index),
            Ok(Admitted::Wait) => self.pump(request.node, flight.version),
            Ok(Admitted::Evict(ticket)) => self.refuse(ticket as usize),
            Err(_) => self.refuse(index),
        }
    }

    /// Slots of a version at each node.
    pub(super) fn capacity(&self, version: usize) -> u32 {
        let spec = &self.site.versions[version];
        let servers = self.servers.iter();
        let slots: u32 = servers
            .filter(|one| one.version == version && !one.out)
            .map(|one| one.slots(spec))
            .sum();
        slots.div_ceil(self.site.nodes as u32)
    }

    /// Starts a request that has leave to run.
    pub(super) fn start(&mut self, index: usize) {
        let Some(flight) = self.flights.get(&index).copied() else {
            return;
        };
        let request = &self.requests[index];
        let Some(server) = self.place(index, flight.version) else {
            return self.at(self.now + RETRY, Event::Retry(index));
        };
        let spec = &self.site.versions[flight.version];
        let one = &mut self.servers[server];
        self.tally.cold_overruns += u32::from(one.cold > 0 && one.running > 0);
        one.unreported[request.node] += 1;
        let took = one.start(spec, self.site, request);
        self.at(self.now + took, Event::Finish(index, server));
    }

    pub(super) fn place(&mut self, index: usize, version: usize) -> Option<usize> {
        let request = &self.requests[index];
        let spec = &self.site.versions[version];
        let (pool, members) = &self.pools[version];
        let load = |one: usize| {
            let server = &self.servers[members[one]];
            let slots = server.slots(spec);
            (!server.out && server.running < slots).then(|| Load {
                free_slots: slots - server.running,
                capacity: spec.slots,
                reported: server.reported,
                unreported: server.unreported[request.node],
                cold: server.cold > 0,
            })
        };
        let count = members.len();
        let chosen = match self.strategy.placement {
            Placement::RoundRobin => {
                self.turn += 1;
                let turn = self.turn;
                (0..count)
                    .map(|step| (turn + step) % count)
                    .find(|one| load(*one).is_some())
            }
            Placement::LeastOutstanding => (0..count)
                .filter_map(|one| Some((load(one)?.unreported, one)))
                .min()
                .map(|(_, one)| one),
            Placement::Weighed => {
                let name = customer(request.customer);
                let query = Placed {
                    prefix_hash: Some(prefix_hash(&name, self.site.tasks[request.task].name)),
                    zone: self.site.zones[request.node % self.site.zones.len()],
                    ..Default::default()
                };
                pool.choose(&query, load, &mut self.rng)
            }
        };
        chosen.map(|one| members[one])
    }

    /// Lets those run whose turn it is.
    pub(super) fn pump(&mut self, node: usize, version: usize) {
        let now = self.instant();
        while let Some(next) = self.nodes[node].queues[version].dequeue(now) {
            match next {
                Dequeued::Run(ticket) => {
                    let index = ticket as usize;
                    if let Some(flight) = self.flights.get_mut(&index) {
                        flight.begun = self.now;
                    }
                    self.start(index);
                }
                Dequeued::Shed(ticket) => self.refuse(ticket as usize),
            }
        }
    }
}

//! Homes and holders of slots, including the counterexamples of specs/slots.pml. A comment
//! `Mutation NAME` refers to the macro that provokes the counterexample there.

use contract::{Member, Owner};
use limits::slot::{Grant, Holder, Home, Outcome, Permit, Request, Server, Settings, home_of};
use std::time::{Duration, Instant};

const SERVER: &str = "10.0.0.1:8000";
const MS: Duration = Duration::from_millis(1);

/// Two homes and two holders of one backend server in a cold start.
struct Fleet {
    now: Instant,
    settings: Settings,
    homes: [Home; 2],
    holders: [Holder; 2],
}

impl Fleet {
    /// The first home has been accepted for so long that it grants slots.
    fn new() -> Self {
        let settings = Settings::default();
        let mut fleet = Self {
            now: Instant::now(),
            homes: [(); 2].map(|()| Home::new(settings.clone())),
            holders: [(); 2].map(|()| Holder::new(settings.clone())),
            settings,
        };
        fleet.make_home(0, 1);
        fleet.now += fleet.settings.handover_wait() + fleet.settings.max_run_time;
        fleet
    }

    /// Makes a home responsible for the server as of a revision, which is accepted at once.
    fn make_home(&mut self, home: usize, revision: u64) {
        self.homes[home].assign(SERVER, cold(), revision, [owner(0), owner(1)]);
        self.homes[home].mark_accepted(self.now, revision);
    }

    /// The holder's next request, even if none is due.
    fn ask(&mut self, holder: usize) -> Request {
        self.holders[holder].home_changed(self.now, SERVER);
        let mut due = self.holders[holder].requests_due(self.now);
        due.remove(0).1
    }

    fn answer(&mut self, home: usize, holder: usize, request: &Request) -> Grant {
        let owner = owner(holder);
        self.homes[home].request(self.now, &owner, SERVER, request, true)
    }

    /// Sends a request of a holder to a home and applies the answer at once. Returns the slots
    /// granted.
    fn renew(&mut self, home: usize, holder: usize) -> u32 {
        self.now += MS;
        let _ = self
            .acquire(holder)
            .map(|permit| self.holders[holder].release(self.now, permit, &Outcome::Cancelled));
        let request = self.ask(holder);
        let grant = self.answer(home, holder, &request);
        self.holders[holder].grant(SERVER, &grant);
        grant.slots
    }

    fn acquire(&mut self, holder: usize) -> Option<Permit> {
        self.holders[holder].acquire(self.now, SERVER).ok()
    }
}

fn owner(holder: usize) -> Owner {
    Owner::new(["n1", "n2"][holder], 1)
}

fn cold() -> Server {
    Server {
        cold_slots: 1,
        slots: 8,
        warm_after: 2,
        accepts_work: true,
    }
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { let run: fn(Fleet) = $body; run(Fleet::new()); })*
    };
}

cases! {
    one_cold_slot_in_the_fleet => |mut fleet| {
        assert_eq!(fleet.renew(0, 0), 1);
        assert_eq!(fleet.renew(0, 1), 0);
    };
    a_slot_passes_to_the_holder_that_waits => |mut fleet| {
        assert_eq!(fleet.renew(0, 0), 1);
        assert_eq!(fleet.renew(0, 1), 0);
        assert_eq!(fleet.renew(0, 0), 0, "another holder waits");
        assert_eq!(fleet.renew(0, 0), 0, "the first holder confirms");
        assert_eq!(fleet.renew(0, 1), 1);
    };
    a_grant_ends_counted_from_the_request => |mut fleet| {
        let _ = fleet.acquire(0);
        let request = fleet.ask(0);
        let grant = fleet.answer(0, 0, &request);
        fleet.now += fleet.settings.ttl;
        // Mutation TTL_FROM_RECEIPT: the answer arrives late, when its grant has expired.
        fleet.holders[0].grant(SERVER, &grant);
        assert!(fleet.acquire(0).is_none());
    };
    a_paused_holder_sends_nothing_after_the_pause => |mut fleet| {
        fleet.renew(0, 0);
        let permit = fleet.acquire(0).unwrap();
        assert!(permit.check(fleet.now).is_ok());
        // Mutation NO_LAST_CHECK: the holder pauses between acquiring the permit and sending.
        assert!(permit.check(fleet.now + fleet.settings.ttl).is_err());
    };
    a_report_from_before_a_start_frees_nothing => |mut fleet| {
        fleet.renew(0, 0);
        // Mutation TRUST_HELD: the report is sent, then the holder starts a request under its old
        // grant.
        let mut early = fleet.ask(0);
        let _permit = fleet.acquire(0).unwrap();
        assert_eq!(early.in_flight, 0);
        early.wanted = 0;
        fleet.answer(0, 0, &early);
        assert_eq!(fleet.renew(0, 1), 0, "the older grant may still be in use");
    };
    a_new_home_waits_for_the_old_grants => |mut fleet| {
        fleet.renew(0, 0);
        let _permit = fleet.acquire(0).unwrap();
        // Mutation SKIP_WAIT: the second home is accepted while a grant of the first one is valid.
        fleet.make_home(1, 2);
        assert_eq!(fleet.renew(1, 1), 0);
    };
    a_home_of_a_server_without_cold_start_waits_too => |mut fleet| {
        let owners = [owner(0), owner(1)];
        fleet.homes[1].assign(SERVER, Server::without_cold_start(1), 2, owners);
        fleet.homes[1].mark_accepted(fleet.now, 2);
        assert_eq!(fleet.renew(1, 1), 0);
        fleet.now += fleet.settings.handover_wait();
        assert_eq!(fleet.renew(1, 1), 1);
    };
    only_servers_with_a_cold_start_are_asked_for_their_load => |mut fleet| {
        let home = &mut fleet.homes[1];
        home.assign("10.0.0.2:8000", Server::without_cold_start(4), 2, [owner(0)]);
        home.assign(SERVER, cold(), 2, [owner(0)]);
        let asked: Vec<_> = home.unconfirmed().cloned().collect();
        assert_eq!(asked, [SERVER]);
    };
    a_new_home_waits_for_unreported_work => |mut fleet| {
        fleet.renew(0, 0);
        let _permit = fleet.acquire(0).unwrap();
        fleet.make_home(1, 2);
        fleet.now += fleet.settings.handover_wait();
        // Mutation SKIP_REPORTS: all grants have expired, but the first holder's request still
        // runs.
        assert_eq!(fleet.renew(1, 1), 0);
        fleet.now += fleet.settings.max_run_time;
        assert_eq!(fleet.renew(1, 1), 1);
    };
    a_report_counts_once_it_confirms_the_new_home => |mut fleet| {
        fleet.renew(0, 0);
        fleet.make_home(1, 2);
        // Mutation ANY_REPORT: the holder reports, then starts a request under the old home's
        // grant.
        let report = Request { wanted: 0, ..fleet.ask(0) };
        fleet.answer(1, 0, &report);
        let _permit = fleet.acquire(0).unwrap();
        assert_eq!(fleet.renew(1, 1), 0);
        assert_eq!(fleet.renew(1, 1), 0);
    };
    a_planned_change_of_home_needs_no_wait => |mut fleet| {
        fleet.renew(0, 0);
        fleet.make_home(1, 2);
        let handover = fleet.homes[0].hand_over(fleet.now, SERVER, 2).unwrap();
        fleet.homes[1].take_over(fleet.now, SERVER, handover);
        assert_eq!(fleet.renew(1, 1), 0, "the first holder's old grant is valid");
        assert_eq!(fleet.renew(1, 0), 0, "the second holder waits");
        assert_eq!(fleet.renew(1, 0), 0, "the first holder confirms");
        assert_eq!(fleet.renew(1, 1), 1);
    };
    confirmations_of_all_owners_end_the_wait => |mut fleet| {
        fleet.renew(0, 0);
        fleet.make_home(1, 2);
        assert_eq!([fleet.renew(1, 0), fleet.renew(1, 1), fleet.renew(1, 0)], [0, 0, 0]);
        assert_eq!(fleet.renew(1, 1), 0, "the first holder has waited longer");
        assert_eq!(fleet.renew(1, 0), 1);
    };
    a_home_waits_for_grants_of_unknown_owners => |mut fleet| {
        fleet.make_home(1, 2);
        fleet.homes[1].mark_owners_incomplete(SERVER);
        let rounds: Vec<_> = (0..6).map(|round| fleet.renew(1, round % 2)).collect();
        assert_eq!(rounds, [0; 6]);
        fleet.now += fleet.settings.handover_wait();
        assert_eq!(fleet.renew(1, 0) + fleet.renew(1, 1) + fleet.renew(1, 0), 1);
    };
    a_home_that_handed_over_grants_nothing => |mut fleet| {
        fleet.renew(0, 0);
        fleet.homes[0].hand_over(fleet.now, SERVER, 2).unwrap();
        assert_eq!(fleet.renew(0, 0), 0);
    };
    a_home_that_isn_t_accepted_grants_nothing => |mut fleet| {
        fleet.homes[1].assign(SERVER, cold(), 2, [owner(0), owner(1)]);
        fleet.now += fleet.settings.handover_wait() + fleet.settings.max_run_time;
        assert_eq!(fleet.renew(1, 1), 0);
    };
    a_stale_home_grants_nothing => |mut fleet| {
        let request = fleet.ask(0);
        let request = Request { wanted: 1, ..request };
        let grant = fleet.homes[0].request(fleet.now, &owner(0), SERVER, &request, false);
        assert_eq!(grant.slots, 0);
    };
    grants_of_a_closed_server_are_revoked_at_once => |mut fleet| {
        fleet.renew(0, 0);
        fleet.homes[0].assign(SERVER, Server { accepts_work: false, ..cold() }, 3, []);
        for (to, backend, grant) in fleet.homes[0].revocations() {
            assert_eq!((to, backend.as_str(), grant.slots), (owner(0), SERVER, 0));
            fleet.holders[0].grant(SERVER, &grant);
        }
        assert!(fleet.acquire(0).is_none());
        assert_eq!(fleet.renew(0, 0), 0);
    };
    a_silent_holder_s_work_counts_until_it_has_ended => |mut fleet| {
        fleet.renew(0, 0);
        let _permit = fleet.acquire(0).unwrap();
        fleet.now += fleet.settings.ttl;
        assert_eq!(fleet.renew(0, 1), 0);
        fleet.now += fleet.settings.max_run_time;
        assert_eq!(fleet.renew(0, 1), 1);
    };
    a_server_s_own_count_ends_the_wait => |mut fleet| {
        fleet.make_home(1, 2);
        fleet.now += fleet.settings.handover_wait() + 5 * MS;
        assert_eq!(fleet.renew(1, 1), 0);
        fleet.homes[1].observe(fleet.now, SERVER, 0, 8 * MS);
        assert_eq!(fleet.renew(1, 1), 0, "the count is from before the old grants ended");
        fleet.homes[1].observe(fleet.now, SERVER, 0, 2 * MS);
        assert_eq!(fleet.renew(1, 1), 1);
    };
    a_server_warms_up_by_completed_requests => |mut fleet| {
        fleet.renew(0, 0);
        for expected in [1, 2, 4, 8] {
            assert_eq!(fleet.homes[0].limit(SERVER), Some(expected));
            for _ in 0..2 {
                let permit = fleet.acquire(0).unwrap();
                let done = Outcome::Completed { first_byte: MS };
                fleet.holders[0].release(fleet.now, permit, &done);
                fleet.renew(0, 0);
            }
        }
    };
    a_refusal_makes_a_warm_server_cold_again => |mut fleet| {
        fleet.renew(0, 0);
        for _ in 0..8 {
            let permit = fleet.acquire(0).unwrap();
            let done = Outcome::Completed { first_byte: MS };
            fleet.holders[0].release(fleet.now, permit, &done);
            fleet.renew(0, 0);
        }
        assert_eq!(fleet.homes[0].limit(SERVER), Some(8));
        let permit = fleet.acquire(0).unwrap();
        assert!(fleet.holders[0].release(fleet.now, permit, &Outcome::Refused));
        assert!(fleet.acquire(0).is_none(), "the holder stops at once");
        fleet.renew(0, 0);
        assert_eq!(fleet.homes[0].limit(SERVER), Some(1));
    };
    slow_first_bytes_signal_a_cold_start => |mut fleet| {
        fleet.renew(0, 0);
        let mut signs = Vec::new();
        for first_byte in [10 * MS, 10 * MS, 900 * MS, 900 * MS] {
            let permit = fleet.acquire(0).unwrap();
            let done = Outcome::Completed { first_byte };
            signs.push(fleet.holders[0].release(fleet.now, permit, &done));
        }
        assert_eq!(signs, [false, false, false, true]);
    };
}

/// One request every ten milliseconds for ten seconds. If the home forwarded each request, it would
/// take two messages. Prints the number of messages that grants take instead.
#[test]
fn grants_take_few_messages() {
    let mut fleet = Fleet::new();
    fleet.homes[0].assign(SERVER, Server::without_cold_start(16), 3, []);
    let (mut messages, mut refused) = (0, 0);
    for _ in 0..1_000 {
        fleet.now += 10 * MS;
        for (_, request) in fleet.holders[0].requests_due(fleet.now) {
            let grant = fleet.answer(0, 0, &request);
            fleet.holders[0].grant(SERVER, &grant);
            messages += 2;
        }
        match fleet.acquire(0) {
            Some(permit) => {
                let done = Outcome::Completed { first_byte: MS };
                fleet.holders[0].release(fleet.now, permit, &done);
            }
            None => refused += 1,
        }
    }
    println!("grants: {messages} messages, {refused} waits; forwarding: 2000 messages, 1000 waits");
    assert!(messages < 100 && refused <= 1, "{messages} {refused}");
}

#[test]
fn a_home_moves_only_with_its_member() {
    let member = |node: &str, leaving| Member {
        node: node.into(),
        zone: "a".into(),
        incarnation: 1,
        http: String::new(),
        link: String::new(),
        leaving,
    };
    let names = ["n1", "n2", "n3"];
    let all: Vec<_> = names.iter().map(|name| member(name, false)).collect();
    let less: Vec<_> = names
        .iter()
        .map(|name| member(name, *name == "n2"))
        .collect();
    let mut counts = [0; 3];
    for number in 0..300 {
        let server = format!("10.0.0.{number}:8000");
        let before = &home_of(&all, "a", &server).unwrap().node;
        let after = &home_of(&less, "a", &server).unwrap().node;
        counts[names.iter().position(|name| name == before).unwrap()] += 1;
        assert!(before == after || before == "n2");
        assert_ne!(after, "n2");
    }
    assert!(counts.iter().all(|count| *count > 60), "{counts:?}");
}

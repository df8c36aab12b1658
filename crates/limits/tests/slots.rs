//! Homes and holders of slots, with the counterexamples of specs/slots.pml replayed.

use contract::{Member, Owner};
use limits::slot::{Grant, Holder, Home, Outcome, Permit, Request, Server, Settings, home_of};
use std::time::{Duration, Instant};

const SERVER: &str = "10.0.0.1:8000";
const MS: Duration = Duration::from_millis(1);

/// Two homes and two holders of one backend server in cold start.
struct Bench {
    now: Instant,
    settings: Settings,
    homes: [Home; 2],
    holders: [Holder; 2],
}

impl Bench {
    /// The first home is settled and both holders have confirmed it.
    fn new() -> Self {
        let settings = Settings::default();
        let mut bench = Self {
            now: Instant::now(),
            homes: [(); 2].map(|()| Home::new(settings.clone())),
            holders: [(); 2].map(|()| Holder::new(settings.clone())),
            settings,
        };
        bench.settle(0, 1);
        bench.now += bench.settings.handover_wait() + bench.settings.max_run_time;
        bench
    }

    fn settle(&mut self, home: usize, revision: u64) {
        self.homes[home].assign(SERVER, cold(), revision, [owner(0), owner(1)]);
        self.homes[home].mark_accepted(self.now, revision);
    }

    /// The holder's next request, also when none is due.
    fn ask(&mut self, holder: usize) -> Request {
        self.holders[holder].home_changed(self.now, SERVER);
        let mut due = self.holders[holder].requests_due(self.now);
        due.remove(0).1
    }

    fn answer(&mut self, home: usize, holder: usize, request: &Request) -> Grant {
        let owner = owner(holder);
        self.homes[home].request(self.now, &owner, SERVER, request, true)
    }

    /// A request and its answer without delay.
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
        $($(#[$doc])* #[test] fn $name() { let run: fn(Bench) = $body; run(Bench::new()); })*
    };
}

cases! {
    one_cold_slot_in_the_fleet => |mut bench| {
        assert_eq!(bench.renew(0, 0), 1);
        assert_eq!(bench.renew(0, 1), 0);
    };
    a_slot_passes_to_the_holder_that_waits => |mut bench| {
        assert_eq!(bench.renew(0, 0), 1);
        assert_eq!(bench.renew(0, 1), 0);
        assert_eq!(bench.renew(0, 0), 0, "another holder waits");
        assert_eq!(bench.renew(0, 0), 0, "the first holder confirms");
        assert_eq!(bench.renew(0, 1), 1);
    };
    a_grant_ends_counted_from_the_request => |mut bench| {
        let _ = bench.acquire(0);
        let request = bench.ask(0);
        let grant = bench.answer(0, 0, &request);
        bench.now += bench.settings.ttl;
        // Mutation TTL_FROM_RECEIPT: the answer was late; its grant has ended.
        bench.holders[0].grant(SERVER, &grant);
        assert!(bench.acquire(0).is_none());
    };
    a_paused_holder_sends_nothing_after_the_pause => |mut bench| {
        bench.renew(0, 0);
        let permit = bench.acquire(0).unwrap();
        assert!(permit.check(bench.now).is_ok());
        // Mutation NO_LAST_CHECK: the holder pauses between the permit and the send.
        assert!(permit.check(bench.now + bench.settings.ttl).is_err());
    };
    a_report_from_before_a_start_frees_nothing => |mut bench| {
        bench.renew(0, 0);
        // Mutation TRUST_HELD: the report leaves, then the holder starts under its old grant.
        let mut early = bench.ask(0);
        let _permit = bench.acquire(0).unwrap();
        assert_eq!(early.in_flight, 0);
        early.wanted = 0;
        bench.answer(0, 0, &early);
        assert_eq!(bench.renew(0, 1), 0, "the older grant isn't confirmed as replaced");
    };
    a_new_home_waits_for_the_old_grants => |mut bench| {
        bench.renew(0, 0);
        let _permit = bench.acquire(0).unwrap();
        // Mutation SKIP_WAIT: the second home is settled while the first one's grant stands.
        bench.settle(1, 2);
        assert_eq!(bench.renew(1, 1), 0);
    };
    a_home_of_a_steady_server_waits_too => |mut bench| {
        let owners = [owner(0), owner(1)];
        bench.homes[1].assign(SERVER, Server::without_cold_start(1), 2, owners);
        bench.homes[1].mark_accepted(bench.now, 2);
        assert_eq!(bench.renew(1, 1), 0);
        bench.now += bench.settings.handover_wait();
        assert_eq!(bench.renew(1, 1), 1);
    };
    only_servers_with_a_cold_start_are_asked_for_their_load => |mut bench| {
        let home = &mut bench.homes[1];
        home.assign("10.0.0.2:8000", Server::without_cold_start(4), 2, [owner(0)]);
        home.assign(SERVER, cold(), 2, [owner(0)]);
        let asked: Vec<_> = home.unconfirmed().cloned().collect();
        assert_eq!(asked, [SERVER]);
    };
    a_new_home_waits_for_unreported_work => |mut bench| {
        bench.renew(0, 0);
        let _permit = bench.acquire(0).unwrap();
        bench.settle(1, 2);
        bench.now += bench.settings.handover_wait();
        // Mutation SKIP_REPORTS: all grants have ended, the first holder's request runs on.
        assert_eq!(bench.renew(1, 1), 0);
        bench.now += bench.settings.max_run_time;
        assert_eq!(bench.renew(1, 1), 1);
    };
    a_report_counts_once_it_confirms_the_new_home => |mut bench| {
        bench.renew(0, 0);
        bench.settle(1, 2);
        // Mutation ANY_REPORT: the holder reports, then starts under the old home's grant.
        let report = Request { wanted: 0, ..bench.ask(0) };
        bench.answer(1, 0, &report);
        let _permit = bench.acquire(0).unwrap();
        assert_eq!(bench.renew(1, 1), 0);
        assert_eq!(bench.renew(1, 1), 0);
    };
    a_planned_change_of_home_needs_no_wait => |mut bench| {
        bench.renew(0, 0);
        bench.settle(1, 2);
        let handover = bench.homes[0].hand_over(bench.now, SERVER, 2).unwrap();
        bench.homes[1].take_over(bench.now, SERVER, handover);
        assert_eq!(bench.renew(1, 1), 0, "the first holder's old grant stands");
        assert_eq!(bench.renew(1, 0), 0, "the second holder waits");
        assert_eq!(bench.renew(1, 0), 0, "the first holder confirms");
        assert_eq!(bench.renew(1, 1), 1);
    };
    confirmations_of_all_owners_end_the_wait => |mut bench| {
        bench.renew(0, 0);
        bench.settle(1, 2);
        assert_eq!([bench.renew(1, 0), bench.renew(1, 1), bench.renew(1, 0)], [0, 0, 0]);
        assert_eq!(bench.renew(1, 1), 0, "the first holder has waited longer");
        assert_eq!(bench.renew(1, 0), 1);
    };
    unseen_owners_are_waited_out => |mut bench| {
        bench.settle(1, 2);
        bench.homes[1].mark_owners_incomplete(SERVER);
        let rounds: Vec<_> = (0..6).map(|round| bench.renew(1, round % 2)).collect();
        assert_eq!(rounds, [0; 6]);
        bench.now += bench.settings.handover_wait();
        assert_eq!(bench.renew(1, 0) + bench.renew(1, 1) + bench.renew(1, 0), 1);
    };
    a_home_that_handed_over_grants_nothing => |mut bench| {
        bench.renew(0, 0);
        bench.homes[0].hand_over(bench.now, SERVER, 2).unwrap();
        assert_eq!(bench.renew(0, 0), 0);
    };
    a_home_that_isn_t_settled_grants_nothing => |mut bench| {
        bench.homes[1].assign(SERVER, cold(), 2, [owner(0), owner(1)]);
        bench.now += bench.settings.handover_wait() + bench.settings.max_run_time;
        assert_eq!(bench.renew(1, 1), 0);
    };
    a_stale_home_grants_nothing => |mut bench| {
        let request = bench.ask(0);
        let request = Request { wanted: 1, ..request };
        let grant = bench.homes[0].request(bench.now, &owner(0), SERVER, &request, false);
        assert_eq!(grant.slots, 0);
    };
    a_closed_server_is_withdrawn_at_once => |mut bench| {
        bench.renew(0, 0);
        bench.homes[0].assign(SERVER, Server { accepts_work: false, ..cold() }, 3, []);
        for (to, backend, grant) in bench.homes[0].revocations() {
            assert_eq!((to, backend.as_str(), grant.slots), (owner(0), SERVER, 0));
            bench.holders[0].grant(SERVER, &grant);
        }
        assert!(bench.acquire(0).is_none());
        assert_eq!(bench.renew(0, 0), 0);
    };
    a_silent_holder_s_work_counts_until_it_has_ended => |mut bench| {
        bench.renew(0, 0);
        let _permit = bench.acquire(0).unwrap();
        bench.now += bench.settings.ttl;
        assert_eq!(bench.renew(0, 1), 0);
        bench.now += bench.settings.max_run_time;
        assert_eq!(bench.renew(0, 1), 1);
    };
    a_server_s_own_count_ends_the_wait => |mut bench| {
        bench.settle(1, 2);
        bench.now += bench.settings.handover_wait() + 5 * MS;
        assert_eq!(bench.renew(1, 1), 0);
        bench.homes[1].observe(bench.now, SERVER, 0, 8 * MS);
        assert_eq!(bench.renew(1, 1), 0, "the count is from before the old grants ended");
        bench.homes[1].observe(bench.now, SERVER, 0, 2 * MS);
        assert_eq!(bench.renew(1, 1), 1);
    };
    a_server_warms_up_by_completed_requests => |mut bench| {
        bench.renew(0, 0);
        for expected in [1, 2, 4, 8] {
            assert_eq!(bench.homes[0].limit(SERVER), Some(expected));
            for _ in 0..2 {
                let permit = bench.acquire(0).unwrap();
                let done = Outcome::Completed { first_byte: MS };
                bench.holders[0].release(bench.now, permit, &done);
                bench.renew(0, 0);
            }
        }
    };
    a_refusal_makes_a_warm_server_cold_again => |mut bench| {
        bench.renew(0, 0);
        for _ in 0..8 {
            let permit = bench.acquire(0).unwrap();
            let done = Outcome::Completed { first_byte: MS };
            bench.holders[0].release(bench.now, permit, &done);
            bench.renew(0, 0);
        }
        assert_eq!(bench.homes[0].limit(SERVER), Some(8));
        let permit = bench.acquire(0).unwrap();
        assert!(bench.holders[0].release(bench.now, permit, &Outcome::Refused));
        assert!(bench.acquire(0).is_none(), "the holder stops at once");
        bench.renew(0, 0);
        assert_eq!(bench.homes[0].limit(SERVER), Some(1));
    };
    slow_first_bytes_are_a_sign_of_a_cold_start => |mut bench| {
        bench.renew(0, 0);
        let mut signs = Vec::new();
        for first_byte in [10 * MS, 10 * MS, 900 * MS, 900 * MS] {
            let permit = bench.acquire(0).unwrap();
            let done = Outcome::Completed { first_byte };
            signs.push(bench.holders[0].release(bench.now, permit, &done));
        }
        assert_eq!(signs, [false, false, false, true]);
    };
}

/// Ten seconds of one request every ten milliseconds, each of which would take two messages if
/// the home forwarded it. Prints the messages that grants take.
#[test]
fn grants_take_few_messages() {
    let mut bench = Bench::new();
    bench.homes[0].assign(SERVER, Server::without_cold_start(16), 3, []);
    let (mut messages, mut refused) = (0, 0);
    for _ in 0..1_000 {
        bench.now += 10 * MS;
        for (_, request) in bench.holders[0].requests_due(bench.now) {
            let grant = bench.answer(0, 0, &request);
            bench.holders[0].grant(SERVER, &grant);
            messages += 2;
        }
        match bench.acquire(0) {
            Some(permit) => {
                let done = Outcome::Completed { first_byte: MS };
                bench.holders[0].release(bench.now, permit, &done);
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

//! The checker finds each kind of broken promise, and nothing in a clean history.

use standin::engine::Counters;
use standin::history::{
    Bill, Change, History, Intent, Interruption, Leaving, Outcome, Promise, Ran, Reading, Request,
    Server, Stop, Target,
};
use standin::journal::Run;
use standin::rating::{Answer, digest};

const BACKEND: &str = "127.0.0.1:9001";
const LATE_MS: u64 = 20_000;

macro_rules! broken {
    ($($name:ident: $promise:ident <= $change:expr;)*) => {
        $(#[test]
        fn $name() {
            let mut history = clean();
            let change: fn(&mut History) = $change;
            change(&mut history);
            let found: Vec<_> = history.violations().iter().map(|one| one.promise).collect();
            assert_eq!(found, [Promise::$promise], "{:?}", history.violations());
        })*
    };
}

macro_rules! kept {
    ($($name:ident <= $change:expr;)*) => {
        $(#[test]
        fn $name() {
            let mut history = clean();
            let change: fn(&mut History) = $change;
            change(&mut history);
            assert_eq!(history.violations(), []);
        })*
    };
}

kept! {
    a_clean_history_has_no_violation <= |_| {};
    a_run_before_the_withdrawal_holds <= |history| {
        history.changes.push(change("w", withdraw(true), 1_000));
    };
    a_run_after_the_withdrawal_is_lifted <= |history| {
        history.changes.push(change("w", withdraw(true), 1_000));
        history.changes.push(change("l", withdraw(false), LATE_MS - 1));
        history.runs.push(run("r2", LATE_MS));
    };
    an_answer_cut_by_a_kill <= |history| {
        history.requests.push(request("p2", Outcome::Broken("reset".into())));
        history.interruptions.push(killed("n1"));
    };
    a_run_that_was_under_way_when_the_withdrawal_was_reported <= |history| {
        let change = Change { in_force_ms: Some(1_010), ..change("w", withdraw(true), 1_000) };
        history.changes.push(change);
        history.runs.push(run("r2", 1_020));
    };
    a_refusal_next_to_an_attempt_that_ran <= |history| {
        history.requests.push(request("p1", refused(Ran::No)));
    };
}

broken! {
    a_version_outside_the_contract: Allowed <= |history| {
        history.runs.push(Run { version: "2".into(), ..run("r2", 100) });
    };
    a_version_no_longer_in_the_contract: Allowed <= |history| {
        history.changes.push(change("c2", allow(&["large"]), 1_000));
        history.runs.push(run("r2", LATE_MS));
    };
    a_run_after_the_withdrawal: Withdrawn <= |history| {
        history.changes.push(change("w", withdraw(true), 1_000));
        history.runs.push(run("r2", LATE_MS));
    };
    a_run_after_the_withdrawal_was_reported_in_force: Withdrawn <= |history| {
        let change = Change { in_force_ms: Some(1_010), ..change("w", withdraw(true), 1_000) };
        history.changes.push(change);
        history.runs.push(run("r2", 1_300));
    };
    a_session_that_changes_version: Session <= |history| {
        let text = answer("small@2", "p2").to_string();
        let mut second = request("p2", Outcome::Whole(text));
        second.served = Some("small@2".into());
        second.request_id = None;
        history.requests.push(second);
    };
    a_request_billed_twice: BilledOnce <= |history| history.bills.push(bill("r1"));
    an_answer_not_billed: BilledOnce <= |history| history.bills.clear();
    a_bill_without_a_run: BilledOnce <= |history| history.bills.push(bill("r9"));
    a_cold_engine_overrun: ColdStart <= |history| {
        history.servers[0].counters = Some(Counters { overruns: 1, ..Counters::default() });
    };
    a_run_in_a_zone_that_is_out: ZoneOut <= |history| {
        let intent = Intent::Zone { zone: "a".into(), out: true };
        history.changes.push(change("z", intent, 1_000));
        history.runs.push(run("r2", LATE_MS));
    };
    a_truncated_answer: WholeAnswer <= |history| {
        let text = answer("small@1", "p1").to_string().replace(" end", "");
        history.requests[0].outcome = Outcome::Whole(text);
    };
    an_answer_to_another_prompt: WholeAnswer <= |history| {
        history.requests[0].outcome = Outcome::Whole(answer("small@1", "p2").to_string());
    };
    an_answer_under_another_name: WholeAnswer <= |history| {
        history.requests[0].outcome = Outcome::Whole(answer("small@2", "p1").to_string());
    };
    a_foreign_booking: WholeAnswer <= |history| {
        let mut booking = request("b1", Outcome::Whole("{\"booking\":\"b2\"}".into()));
        booking.target = Target::Confirmation { key: "k1".into() };
        history.requests.push(booking);
    };
    an_answer_cut_without_a_cause: WholeAnswer <= |history| {
        history.requests.push(request("p2", Outcome::Broken("reset".into())));
        history.interruptions.push(killed("n2"));
    };
    a_refusal_that_ran: NotRun <= |history| history.requests[0].outcome = refused(Ran::No);
    a_confirmation_that_ran_twice: AtMostOnce <= |history| {
        history.runs.push(confirmation("r2"));
        history.runs.push(confirmation("r3"));
    };
    a_run_on_a_leaving_server: Leaving <= |history| {
        let backend = BACKEND.into();
        history.leavings.push(Leaving { backend, at_ms: 1_000, until_ms: None });
        history.runs.push(run("r2", LATE_MS));
    };
    a_stop_that_cuts: PlannedStop <= |history| {
        history.stops.push(stop(Some(300), Some(0)));
        history.requests.push(request("p2", Outcome::TimedOut));
    };
    a_stop_that_never_ends: PlannedStop <= |history| history.stops.push(stop(None, None));
    a_stop_that_fails: PlannedStop <= |history| history.stops.push(stop(Some(300), Some(1)));
    a_node_that_goes_back: InForce <= |history| {
        history.readings.extend([reading(100, 2), reading(200, 1)]);
    };
    a_node_that_serves_with_an_old_revision: InForce <= |history| {
        history.changes.push(Change { revision: Some(3), ..change("c", Intent::Other, 1_000) });
        history.readings.push(reading(LATE_MS, 2));
    };
    two_changes_that_made_one_revision: InForce <= |history| {
        let made = |id| Change { revision: Some(3), ..change(id, Intent::Other, 1_000) };
        history.changes.extend([made("c"), made("d")]);
    };
}

fn clean() -> History {
    History {
        requests: vec![request(
            "p1",
            Outcome::Whole(answer("small@1", "p1").to_string()),
        )],
        runs: vec![run("r1", 110)],
        bills: vec![bill("r1")],
        changes: vec![change("c1", allow(&["small@1"]), 1)],
        servers: vec![Server {
            backend: BACKEND.into(),
            zone: "a".into(),
            counters: Some(Counters::default()),
        }],
        ..History::default()
    }
}

fn request(subject: &str, outcome: Outcome) -> Request {
    Request {
        customer: "c".into(),
        node: "n1".into(),
        target: Target::Chat {
            model: "tag".into(),
            stream: false,
        },
        subject: subject.into(),
        session: Some(1),
        sent_ms: 100,
        ended_ms: 200,
        request_id: Some("r1".into()),
        served: Some("small@1".into()),
        outcome,
    }
}

fn answer(served: &str, prompt: &str) -> Answer {
    Answer {
        served: served.into(),
        prompt: digest(prompt),
        quality: 0.9,
        words: 3,
    }
}

fn refused(ran: Ran) -> Outcome {
    Outcome::Refused {
        code: "no_capacity".into(),
        ran,
    }
}

fn run(request_id: &str, at_ms: u64) -> Run {
    Run {
        backend: BACKEND.into(),
        kind: "engine".into(),
        model: "small".into(),
        version: "1".into(),
        request_id: request_id.into(),
        customer: "c".into(),
        at_ms,
        subject: if request_id == "r1" {
            "p1".into()
        } else {
            request_id.into()
        },
        ..Run::default()
    }
}

fn confirmation(request_id: &str) -> Run {
    Run {
        kind: "service".into(),
        idempotency_key: "k1".into(),
        ..run(request_id, 100)
    }
}

fn bill(request_id: &str) -> Bill {
    Bill {
        request_id: request_id.into(),
        customer: "c".into(),
        micros: 1,
    }
}

fn change(id: &str, intent: Intent, at_ms: u64) -> Change {
    Change {
        id: id.into(),
        intent,
        sent_ms: at_ms,
        accepted_ms: Some(at_ms),
        in_force_ms: None,
        revision: None,
        rejected: false,
    }
}

fn allow(models: &[&str]) -> Intent {
    let models = models.iter().map(ToString::to_string).collect();
    Intent::Allow {
        customer: "c".into(),
        models,
    }
}

fn withdraw(out: bool) -> Intent {
    Intent::Withdraw {
        served: "small@1".into(),
        out,
    }
}

fn stop(ended_ms: Option<u64>, status: Option<i32>) -> Stop {
    Stop {
        node: "n1".into(),
        at_ms: 150,
        ended_ms,
        status,
    }
}

fn killed(node: &str) -> Interruption {
    Interruption {
        node: node.into(),
        at_ms: 150,
        until_ms: 160,
    }
}

fn reading(at_ms: u64, revision: u64) -> Reading {
    Reading {
        node: "n1".into(),
        incarnation: 1,
        at_ms,
        revision,
        serving: true,
    }
}

//! A request that crashes the workers that run it: where workers start again under the ids that they had, and
//! where it comes for longer than a minute.

use crate::site::{CONTACT, Callers, ListedWorker, Site, config, unix_ms, watch};
use crate::worker::{Arrivals, Worker};
use crate::{AllSent, Case, Outgoing, Verdict, attempt, drive, write_down};
use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// What makes the request hard to stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Workers start again under the ids that they had.
    SameId,
    /// It comes for longer than a minute.
    Long,
}

impl Kind {
    fn workers(self) -> usize {
        match self {
            Self::SameId => 2,
            Self::Long => 4,
        }
    }

    fn length(self) -> Duration {
        match self {
            Self::SameId => Duration::from_secs(45),
            Self::Long => Duration::from_secs(85),
        }
    }
}

/// Sound requests a second.
const RATE: f64 = 4.0;
/// When the poison request first comes, and how often it comes again.
const POISON_AT: Duration = Duration::from_secs(4);
const POISON_RATE: f64 = 2.0;
/// Time after which a worker that has crashed is back.
const RESTART_TIME: Duration = Duration::from_secs(2);
/// Crashes after which the request is to be stopped.
const CRASHES: usize = 3;
/// Retries that may still reach workers then.
const MAX_RETRIES: usize = 3;
/// Three heartbeats of silence, after which an entry is removed.
const LAPSE: Duration = Duration::from_millis(3600);

const POISON: &str = "plan for the flooded hall";

type Crashes = Arc<Mutex<Vec<(Instant, String)>>>;

/// One place where a worker runs; it starts again after each crash.
struct Place {
    site: Arc<Site>,
    arrivals: Arrivals,
    crashes: Crashes,
    index: usize,
    /// Whether a worker that starts again has the id and address that it had.
    keeps_id: bool,
    /// Whether the poison request crashes it.
    crashes_at_poison: bool,
}

impl Place {
    fn run(self: Arc<Self>) {
        let mut address = "127.0.0.1:0".to_owned();
        for start in 0.. {
            let id = match self.keeps_id {
                true => format!("i-{}", self.index),
                false => format!("i-{}-{start}", self.index),
            };
            let (crashes, crashes_at_poison) = (self.crashes.clone(), self.crashes_at_poison);
            let begun = Worker::start(
                &id,
                &address,
                &self.arrivals,
                move |worker, request, stream| {
                    if crashes_at_poison && request.body == POISON.as_bytes() {
                        worker.arrived(request, "begins the poison request and crashes");
                        if let Ok(mut crashes) = crashes.lock() {
                            crashes.push((Instant::now(), worker.id.clone()));
                        }
                        worker.stop();
                        return Ok(false);
                    }
                    let entry = worker.arrived(request, "runs");
                    sleep(Duration::from_millis(60));
                    worker.set_outcome(entry, "ran, answered 200");
                    worker.reply(request, stream, 200, "found")
                },
            );
            let Ok(worker) = begun else {
                self.site
                    .record
                    .line(&format!("{id} can't listen at {address} yet"));
                sleep(Duration::from_millis(100));
                continue;
            };
            if self.keeps_id {
                address = worker.address.to_string();
            }
            let born = unix_ms();
            self.site.list(&ListedWorker {
                id: &id,
                service: "reservations",
                address: worker.address,
                version: "v1",
                slots: 6,
                state: "ready",
                born,
            });
            self.site
                .record
                .line(&format!("{id} started, born {born}, at {}", worker.address));
            while !worker.is_stopped() {
                sleep(Duration::from_millis(5));
            }
            self.site.record.line(&format!("{id} crashed"));
            if !self.keeps_id {
                let (site, id) = (self.site.clone(), id.clone());
                thread::spawn(move || {
                    sleep(LAPSE);
                    site.store.put("servers", &id, None);
                });
            }
            sleep(RESTART_TIME);
        }
    }
}

pub fn run(case: &Case, kind: Kind) -> Verdict {
    let site = Arc::new(Site::new(case.record.clone(), 2));
    let verdict = play(case, &site, kind);
    site.nodes.iter().for_each(|node| node.kill());
    verdict
}

fn play(case: &Case, site: &Arc<Site>, kind: Kind) -> Verdict {
    watch(site, &case.record, Duration::from_secs(110));
    let (arrivals, sent, crashes) = (Arrivals::default(), AllSent::default(), Crashes::default());
    for index in 0..kind.workers() {
        let place = Arc::new(Place {
            site: site.clone(),
            arrivals: arrivals.clone(),
            crashes: crashes.clone(),
            index,
            keeps_id: case.trouble && kind == Kind::SameId,
            crashes_at_poison: case.trouble || kind == Kind::SameId,
        });
        thread::spawn(move || place.run());
    }
    let route = r#"{"name":"lookup","host":"shop.example","prefix":"/lookup/","routeType":"idempotent",
"timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"reservations","attempts":2,"anonymous":false}"#;
    let service = r#"{"name":"reservations","maxConnections":96,"coldStartS":0,"coldPerS":0}"#;
    site.store
        .put("op", "config", Some(&config(1, route, service)));
    if !site.start() {
        return Verdict::CannotRun;
    }
    let callers = Callers::new(site);
    callers.keep_resolving();
    sleep(Duration::from_millis(300));
    let send = |body: String| {
        let (shared, all) = (callers.clone(), sent.clone());
        move |number: u64| {
            let body = match body.is_empty() {
                true => format!("booking-{number}"),
                false => body.clone(),
            };
            let out = Outgoing {
                method: "POST",
                path: "/lookup/one",
                headers: "",
                body: &body,
                deadline: Duration::from_millis(3000),
                patience: Duration::from_millis(3000),
                subject: &body,
            };
            attempt(&shared, &all, &out);
        }
    };
    let sound = drive(RATE, kind.length(), send(String::new()));
    sleep(POISON_AT);
    let poison = drive(
        POISON_RATE,
        kind.length() - POISON_AT,
        send(POISON.to_owned()),
    );
    let _ = (sound.join(), poison.join());
    sleep(Duration::from_secs(3));
    let sent = sent.lock().map(|all| all.clone()).unwrap_or_default();
    let arrivals = arrivals.lock().map(|all| all.clone()).unwrap_or_default();
    let crashes = crashes.lock().map(|all| all.clone()).unwrap_or_default();
    write_down(site, &sent, &arrivals);
    site.keep_logs();
    let served = sent.iter().filter(|sent| sent.got.status() == 200).count();
    let Some((third, _)) = crashes.get(CRASHES - 1) else {
        case.record.say(&format!(
            "{} requests, {served} served; fewer than three crashes",
            sent.len()
        ));
        return match case.trouble || served < sent.len() {
            true => Verdict::CannotRun,
            false => Verdict::Held,
        };
    };
    let late: HashSet<_> = sent
        .iter()
        .filter(|sent| sent.subject == POISON && sent.at > *third + CONTACT)
        .map(|sent| sent.id.as_str())
        .collect();
    let reached = arrivals
        .iter()
        .filter(|arrival| late.contains(arrival.request_id.as_str()))
        .count();
    case.record.say(&format!(
        "{} requests, {served} served; {} crashes, the third at {:.3} s; of {} poison requests sent over 3 s later, {reached} reached workers",
        sent.len(),
        crashes.len(),
        case.record.seconds(*third),
        late.len()
    ));
    match reached > MAX_RETRIES {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

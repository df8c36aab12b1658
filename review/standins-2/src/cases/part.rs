//! A part of prompts that crashes servers, beside a first part that is sound and as new.

use crate::Play;
use crate::site::{
    self, Ask, Behaviour, Node, Record, Seen, Services, Worker, config, model_headers,
};
use crate::store::Store;
use std::io;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CONTACT_MS: u64 = 3000;
const BACK: Duration = Duration::from_millis(2500);
const SERVERS: usize = 6;

pub fn play(play: &Play) -> io::Result<bool> {
    let record = Record::new(&play.folder)?;
    let store = Store::start()?;
    let services = Services::new(&store);
    let (trouble, all) = (play.trouble, Arc::clone(&services));
    let crashes: Arc<Mutex<Vec<u64>>> = Arc::default();
    let noted = Arc::clone(&crashes);
    let behaviour: Behaviour = Arc::new(move |connection, request, worker| {
        worker.run(request);
        if trouble
            && request
                .header("prompt-prefix")
                .split(',')
                .any(|part| part.starts_with("dead:"))
        {
            noted.lock().unwrap().push(worker.record.ms());
            worker.crash(BACK, &all);
            return Ok(false);
        }
        site::stream_events(connection, request, worker, 5, Duration::from_millis(20))
    });
    for index in 0..SERVERS {
        let worker = Worker::start(&format!("i-model-{index}"), &record, Arc::clone(&behaviour))?;
        services.add(&worker, "models", 64);
    }
    store.put("op", "config", Some(&config(5000)));
    let node = Node::start(&play.program, &play.scratch, 0, 110, &store)?;
    node.until_ready()?;
    let address = node.address;
    let callers: Arc<Mutex<Vec<thread::JoinHandle<(bool, u64, Seen)>>>> = Arc::default();
    let send = |sound: bool, id: String, parts: String| {
        let record = record.clone();
        let caller = thread::spawn(move || {
            let ask = Ask {
                method: "POST",
                path: "/stream/a",
                id: &id,
                headers: model_headers(&parts, "250,40"),
                body: format!("prompt of {id}"),
                deadline_ms: 5000,
                rate: 0,
            };
            let at = record.ms();
            let seen = ask.send(address, &record);
            (sound, at, seen)
        });
        callers.lock().unwrap().push(caller);
    };
    let begun = Instant::now();
    let at = |ms: u64| begun + Duration::from_millis(ms);
    for step in 0..320u64 {
        // A step each 0.1 s.
        let now = step * 100;
        thread::sleep(at(now).saturating_duration_since(Instant::now()));
        if now < 8000 && step % 2 == 0 {
            send(
                true,
                format!("before-{step}"),
                format!("aa01:100,{step:x}0:50"),
            );
        }
        // The requests with the part that crashes come for 18 s.
        if (8000..26_000).contains(&now) && step % 10 == 0 {
            send(
                false,
                format!("poison-{step}"),
                format!("bb01:100,dead:80,{step:x}0:50"),
            );
        }
        if now >= 10_000 && step % 4 == 1 {
            send(
                true,
                format!("sound-{step}"),
                format!("bb01:100,cc01:80,{step:x}0:50"),
            );
        }
    }
    let callers = std::mem::take(&mut *callers.lock().unwrap());
    let seen: Vec<_> = callers
        .into_iter()
        .filter_map(|caller| caller.join().ok())
        .collect();
    let crashes = crashes.lock().unwrap().clone();
    let from = crashes
        .get(4)
        .or(crashes.last())
        .map_or(14_000, |at| at + 2 * CONTACT_MS);
    let share = |from: u64, until: u64| {
        let of: Vec<_> = seen
            .iter()
            .filter(|(sound, at, _)| *sound && *at >= from && *at < until)
            .collect();
        (
            of.iter().filter(|(.., seen)| seen.status == 200).count(),
            of.len(),
        )
    };
    let last = seen
        .iter()
        .filter(|(sound, ..)| !sound)
        .map(|(_, at, _)| *at)
        .max()
        .unwrap_or(0);
    let first = crashes.first().copied().unwrap_or(8000);
    let (before, during) = (share(0, first), share(from, last));
    record.say(&format!(
        "{} crashes; of the sound requests before the first {} of {} began, from {} ms until {} ms {} of {}",
        crashes.len(), before.0, before.1, from, last, during.0, during.1
    ));
    if before.1 < 20 || during.1 < 20 {
        return Err(io::Error::other("too few requests"));
    }
    Ok((during.0 * before.1 * 2) >= (before.0 * during.1))
}

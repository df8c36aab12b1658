//! Plain answers that have no end, several at once.

use crate::Play;
use crate::site::{self, Ask, Behaviour, End, Node, Record, Services, Worker, config};
use crate::store::Store;
use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const TIMEOUT_MS: u64 = 5000;
const DEADLINE_MS: u64 = 20_000;
const REQUESTS: usize = 60;

pub fn play(play: &Play) -> io::Result<bool> {
    let record = Record::new(&play.folder)?;
    let store = Store::start()?;
    let services = Services::new(&store);
    let trouble = play.trouble;
    let behaviour: Behaviour = Arc::new(move |connection, request, worker| {
        worker.run(request);
        if !trouble {
            return site::plain(connection, request, worker, Duration::from_millis(100));
        }
        let seal = format!("seal.{}", worker.id);
        let id = request.header("request-id");
        let headers = [
            ("request-id", id),
            ("response-seal", seal.as_str()),
            ("transfer-encoding", "chunked"),
        ];
        connection.write_head(200, &headers)?;
        loop {
            connection.chunk(&[b'x'; 20_000])?;
            thread::sleep(Duration::from_millis(50));
        }
    });
    for index in 0..4 {
        let worker = Worker::start(&format!("i-desk-{index}"), &record, Arc::clone(&behaviour))?;
        services.add(&worker, "desk", 30);
    }
    store.put("op", "config", Some(&config(TIMEOUT_MS)));
    let node = Node::start(&play.program, &play.scratch, 0, 110, &store)?;
    node.until_ready()?;
    let callers: Vec<_> = (0..REQUESTS)
        .map(|index| {
            let (record, address) = (record.clone(), node.address);
            thread::spawn(move || {
                let id = format!("r{index}");
                let ask = Ask {
                    method: "POST",
                    path: "/once/a",
                    id: &id,
                    headers: Vec::new(),
                    body: format!("prompt of {id}"),
                    deadline_ms: DEADLINE_MS,
                    rate: 0,
                };
                ask.send(address, &record)
            })
        })
        .collect();
    let seen: Vec<_> = callers
        .into_iter()
        .filter_map(|caller| caller.join().ok())
        .collect();
    let limit = Duration::from_millis(TIMEOUT_MS + 500);
    let late = seen
        .iter()
        .filter(|seen| seen.end == End::Open || seen.took > limit)
        .count();
    record.say(&format!(
        "{late} of {} requests had no final answer {} ms after they were sent",
        seen.len(),
        limit.as_millis()
    ));
    Ok(!(late >= 8 && late * 4 > seen.len()))
}

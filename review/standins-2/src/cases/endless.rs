//! Streams whose server sends bytes without end.

use crate::Play;
use crate::site::{
    self, Ask, Behaviour, End, Node, Record, Services, Worker, config, model_headers,
};
use crate::store::Store;
use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const TIMEOUT_MS: u64 = 5000;
const DEADLINE_MS: u64 = 20_000;
const STREAMS: usize = 16;

pub fn play(play: &Play) -> io::Result<bool> {
    let record = Record::new(&play.folder)?;
    let store = Store::start()?;
    let services = Services::new(&store);
    let trouble = play.trouble;
    let behaviour: Behaviour = Arc::new(move |connection, request, worker| {
        worker.run(request);
        if !trouble {
            return site::stream_events(connection, request, worker, 20, Duration::from_millis(20));
        }
        site::open_stream(connection, request, worker)?;
        // Bytes that are no answer: empty lines.
        let bytes = "\n".repeat(65_536);
        loop {
            connection.chunk(bytes.as_bytes())?;
        }
    });
    for index in 0..2 {
        let worker = Worker::start(&format!("i-model-{index}"), &record, Arc::clone(&behaviour))?;
        services.add(&worker, "models", 64);
    }
    store.put("op", "config", Some(&config(TIMEOUT_MS)));
    let node = Node::start(&play.program, &play.scratch, 0, 110, &store)?;
    node.until_ready()?;
    let callers: Vec<_> = (0..STREAMS)
        .map(|index| {
            let (record, address) = (record.clone(), node.address);
            thread::spawn(move || {
                let id = format!("s{index}");
                let ask = Ask {
                    method: "POST",
                    path: "/stream/a",
                    id: &id,
                    headers: model_headers(&format!("aa01:100,{index:x}b:50"), "150,100"),
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

//! Streams whose servers send bytes without end, to callers that read at the pace of their links. The case
//! plays the platform that ends a process which exceeds its memory.

use crate::Play;
use crate::http::Connection;
use crate::site::{
    self, Ask, Behaviour, End, HOST, KEY, Node, Record, Services, Worker, config, model_headers,
};
use crate::store::Store;
use std::collections::BTreeSet;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// `limits.memoryMb` of the settings.
const MEMORY_MB: u64 = 110;
const STREAMS: usize = 64;
/// Bytes a second that the caller of a stream reads: a link of 8 Mbit/s.
const RATE: usize = 1_000_000;
/// Callers of the sound service, each with a connection that it keeps.
const KEPT: usize = 20;
/// Time that a request of the sound service takes.
const WORK: Duration = Duration::from_millis(450);
const PLAYED: Duration = Duration::from_secs(20);
/// Requests that may be lost, as the rule says.
const MAX_LOST: usize = 3;

pub fn play(play: &Play) -> io::Result<bool> {
    let record = Record::new(&play.folder)?;
    let store = Store::start()?;
    let services = Services::new(&store);
    let trouble = play.trouble;
    let models: Behaviour = Arc::new(move |connection, request, worker| {
        worker.run(request);
        if !trouble {
            return site::stream_events(connection, request, worker, 20, Duration::from_millis(20));
        }
        site::open_stream(connection, request, worker)?;
        // Bytes that are no answer: blocks of 100 kB, each with an empty line after it.
        let mut bytes = vec![b'x'; 100_000];
        bytes.extend_from_slice(b"\n\n");
        loop {
            connection.chunk(&bytes)?;
        }
    });
    let desks: Behaviour = Arc::new(|connection, request, worker| {
        worker.run(request);
        site::plain(connection, request, worker, WORK)
    });
    for index in 0..2 {
        let worker = Worker::start(&format!("i-model-{index}"), &record, Arc::clone(&models))?;
        services.add(&worker, "models", 64);
    }
    let mut sound = Vec::new();
    for index in 0..4 {
        let worker = Worker::start(&format!("i-desk-{index}"), &record, Arc::clone(&desks))?;
        services.add(&worker, "desk", 6);
        sound.push(worker);
    }
    store.put("op", "config", Some(&config(15_000)));
    let mut node = Node::start(&play.program, &play.scratch, 0, MEMORY_MB, &store)?;
    node.until_ready()?;
    let address = node.address;
    let begun = Instant::now();
    let unanswered: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let over = Arc::new(AtomicBool::new(false));
    let kept: Vec<_> = (0..KEPT)
        .map(|caller| {
            let (record, unanswered, over) =
                (record.clone(), Arc::clone(&unanswered), Arc::clone(&over));
            thread::spawn(move || keep_asking(caller, address, &record, &unanswered, &over))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let streams: Vec<_> = (0..STREAMS)
        .map(|index| {
            let record = record.clone();
            thread::spawn(move || {
                let id = format!("s{index}");
                let ask = Ask {
                    method: "POST",
                    path: "/stream/a",
                    id: &id,
                    headers: model_headers(&format!("aa01:100,{index:x}b:50"), "150,100"),
                    body: format!("prompt of {id}"),
                    deadline_ms: 15_000,
                    rate: RATE,
                };
                ask.send(address, &record)
            })
        })
        .collect();
    let (mut most, mut kills) = (0, 0);
    while begun.elapsed() < PLAYED {
        thread::sleep(Duration::from_millis(20));
        let resident = node.resident_kb().unwrap_or(0);
        most = most.max(resident);
        if resident > MEMORY_MB * 1024 {
            kills += 1;
            record.line(&format!(
                "the platform ends the node: {resident} kB resident, {MEMORY_MB} MB allowed"
            ));
            node.child.kill()?;
            node.child.wait()?;
            thread::sleep(Duration::from_millis(500));
            node.restart()?;
            record.line("the platform starts the node again");
        }
    }
    over.store(true, Ordering::SeqCst);
    let answered: usize = kept
        .into_iter()
        .filter_map(|caller| caller.join().ok())
        .sum();
    let seen: Vec<_> = streams
        .into_iter()
        .filter_map(|caller| caller.join().ok())
        .collect();
    let whole = seen.iter().filter(|seen| seen.end == End::Whole).count();
    let unanswered = unanswered.lock().unwrap().clone();
    let ran: BTreeSet<_> = sound
        .iter()
        .flat_map(|worker| worker.runs.lock().unwrap().clone())
        .map(|run| run.request)
        .collect();
    let lost = unanswered.intersection(&ran).count();
    record.say(&format!(
        "most memory {} MB of {MEMORY_MB}, ended for it {kills} times; {whole} of {STREAMS} streams whole; on kept \
         connections {answered} sound requests were answered, and {lost} ran at a sound server and had their connection \
         closed without an answer",
        most / 1024
    ));
    Ok(lost <= MAX_LOST)
}

/// Sends one request after the other over a kept connection, and notes those whose connection ends without
/// an answer. Returns the number of those that were answered.
fn keep_asking(
    caller: usize,
    node: SocketAddr,
    record: &Record,
    unanswered: &Mutex<BTreeSet<String>>,
    over: &AtomicBool,
) -> usize {
    let mut answered = 0;
    let mut number = 0;
    while !over.load(Ordering::SeqCst) {
        let Ok(stream) = TcpStream::connect(node) else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
        let mut connection = Connection::new(stream);
        while !over.load(Ordering::SeqCst) {
            number += 1;
            let id = format!("k{caller}-{number}");
            record.line(&format!(
                "caller sends {id} POST /once/a over its kept connection"
            ));
            match ask(&mut connection, &id) {
                Ok(status) => {
                    answered += 1;
                    record.line(&format!("caller has of {id}: status {status}"));
                    if status == 503 {
                        thread::sleep(Duration::from_millis(300));
                    }
                }
                Err(error) => {
                    record.line(&format!(
                        "caller has of {id}: no answer, the connection ended ({error})"
                    ));
                    unanswered.lock().unwrap().insert(id);
                    break;
                }
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    answered
}

fn ask(connection: &mut Connection, id: &str) -> io::Result<u16> {
    let text = format!(
        "POST /once/a HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {id}\r\ndeadline-ms: 5000\r\nkey: {KEY}\r\n\
         content-length: 0\r\n\r\n"
    );
    connection.stream.write_all(text.as_bytes())?;
    let head = connection.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let length: usize = head.header("content-length").parse().unwrap_or(0);
    while connection.rest.len() < length {
        if connection.fill()? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    connection.rest.drain(..length);
    Ok(head.status())
}

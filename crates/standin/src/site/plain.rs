//! How a backend server runs a request, well or badly.

use super::fault::WorkerFault;
use super::wire::{Request, answer, head, reset};
use super::worker::{Run, Shared};
use std::io;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Notes that a run was cut unless it came to its end.
struct Watch<'a> {
    shared: &'a Shared,
    index: usize,
    ended: bool,
}

impl Drop for Watch<'_> {
    fn drop(&mut self) {
        self.shared.state().runs[self.index].cut = !self.ended;
    }
}

/// Runs a request; false when the connection is to end.
pub async fn run(stream: &mut TcpStream, shared: &Shared, request: Request) -> io::Result<bool> {
    let fault = shared.state().fault;
    let instance = [("instance-id", shared.id.as_str()), ("not-executed", "1")];
    if request.header("target-instance") != shared.id {
        answer(stream, 421, &instance[..1], b"").await?;
        return Ok(true);
    }
    if fault == WorkerFault::Full {
        answer(stream, 503, &instance, b"").await?;
        return Ok(true);
    }
    if let WorkerFault::Pause(millis) = fault {
        shared.state().refusals.push(Instant::now());
        let seconds = format!("{}", millis as f64 / 1e3);
        let headers = [instance[0], instance[1], ("retry-after", &seconds)];
        answer(stream, 503, &headers, b"").await?;
        return Ok(true);
    }
    let peer = stream.peer_addr().ok();
    let index = {
        let mut state = shared.state();
        state.runs.push(Run {
            request: request.clone(),
            at: Instant::now(),
            peer,
            cut: false,
        });
        state.runs.len() - 1
    };
    let mut watch = Watch {
        shared,
        index,
        ended: false,
    };
    let kept = match request.header("accept") {
        "text/event-stream" => events(stream, shared, &request, fault).await?,
        _ => whole(stream, shared, &request, fault).await?,
    };
    watch.ended = true;
    Ok(kept)
}

async fn whole(
    stream: &mut TcpStream,
    shared: &Shared,
    request: &Request,
    fault: WorkerFault,
) -> io::Result<bool> {
    let seal = format!("seal.{}", shared.id);
    let id = request.header("request-id");
    let body = format!("answer of {} to {id}", shared.id);
    let headers = [("request-id", id), ("response-seal", &seal)];
    match fault {
        WorkerFault::Reset => reset(stream)?,
        WorkerFault::Mute => silent(stream).await?,
        WorkerFault::EndlessHead => endless_head(stream).await?,
        WorkerFault::Drip(_) => {
            open_chunked(stream, 200, &headers).await?;
            drip(stream).await?;
        }
        WorkerFault::EndlessBody => {
            open_chunked(stream, 200, &headers).await?;
            endless_body(stream).await?;
        }
        WorkerFault::EarlyEnd(_, pause) => early_end(stream, &headers, pause).await?,
        WorkerFault::NoLength => {
            let mut bytes = head(200, &headers);
            bytes.extend_from_slice(b"\r\n");
            bytes.extend_from_slice(body.as_bytes());
            stream.write_all(&bytes).await?;
        }
        WorkerFault::Status(status) => {
            answer(stream, status, &headers, body.as_bytes()).await?;
            return Ok(true);
        }
        WorkerFault::Unending => {
            open_chunked(stream, 200, &headers).await?;
            let block = "x".repeat(PACED_BYTES);
            loop {
                chunk(stream, &block).await?;
                sleep(PACED_PAUSE).await;
            }
        }
        WorkerFault::LargeSlow(bytes) => {
            let mut text = head(200, &headers);
            text.extend_from_slice(format!("content-length: {bytes}\r\n\r\n").as_bytes());
            stream.write_all(&text).await?;
            for block in vec![b'x'; bytes].chunks(PACED_BYTES) {
                stream.write_all(block).await?;
                sleep(PACED_PAUSE).await;
            }
            return Ok(true);
        }
        WorkerFault::Break(_) => {
            let mut bytes = head(200, &headers);
            bytes.extend_from_slice(b"content-length: 1000\r\n\r\n");
            bytes.extend_from_slice(body.as_bytes());
            stream.write_all(&bytes).await?;
        }
        WorkerFault::Crossed => {
            let headers = [("request-id", "another"), ("response-seal", &seal)];
            answer(stream, 200, &headers, body.as_bytes()).await?;
        }
        WorkerFault::CutHead(size) => cut_head(stream, &headers, size).await?,
        WorkerFault::Leaving => {
            let headers = [headers[0], headers[1], ("server-leaving", "1")];
            answer(stream, 200, &headers, body.as_bytes()).await?;
        }
        WorkerFault::Limit(limit) => {
            let headers = [headers[0], headers[1], ("server-limit", limit)];
            answer(stream, 200, &headers, body.as_bytes()).await?;
        }
        WorkerFault::LimitByTurns(limit) => {
            let headers = [headers[0], headers[1], ("server-limit", limit)];
            let named = shared.state().runs.len().is_multiple_of(2);
            let headers = if named { &headers[..] } else { &headers[..2] };
            answer(stream, 200, headers, body.as_bytes()).await?;
        }
        WorkerFault::CrossedLeaving => {
            let headers = [
                ("request-id", "another"),
                ("response-seal", &seal),
                ("server-leaving", "1"),
            ];
            answer(stream, 200, &headers, body.as_bytes()).await?;
        }
        WorkerFault::CrossedRefusal => {
            let headers = [("request-id", "another"), ("not-executed", "1")];
            answer(stream, 503, &headers, b"").await?;
        }
        WorkerFault::Fail(status) => {
            answer(stream, status, &headers, b"failed").await?;
            return Ok(true);
        }
        WorkerFault::FailDrip(status) => {
            open_chunked(stream, status, &headers).await?;
            drip(stream).await?;
        }
        WorkerFault::FailEndless(status) => {
            open_chunked(stream, status, &headers).await?;
            endless_body(stream).await?;
        }
        WorkerFault::Large(bytes) => {
            answer(stream, 200, &headers, &vec![b'x'; bytes]).await?;
            return Ok(true);
        }
        WorkerFault::LargeBreak(announced, sent) => {
            let mut bytes = head(200, &headers);
            bytes.extend_from_slice(format!("content-length: {announced}\r\n\r\n").as_bytes());
            bytes.resize(bytes.len() + sent, b'x');
            stream.write_all(&bytes).await?;
        }
        WorkerFault::Slow(time) => {
            sleep(time).await;
            answer(stream, 200, &headers, body.as_bytes()).await?;
            return Ok(true);
        }
        _ => {
            answer(stream, 200, &headers, body.as_bytes()).await?;
            return Ok(true);
        }
    }
    Ok(false)
}

async fn events(
    stream: &mut TcpStream,
    shared: &Shared,
    request: &Request,
    fault: WorkerFault,
) -> io::Result<bool> {
    let (count, pause, confidence) = {
        let state = shared.state();
        (state.events, state.pause, state.confidence.to_string())
    };
    match fault {
        WorkerFault::Reset => {
            reset(stream)?;
            return Ok(false);
        }
        WorkerFault::Mute => silent(stream).await?,
        WorkerFault::EndlessHead => endless_head(stream).await?,
        WorkerFault::CutHead(size) => {
            let seal = format!("seal.{}", shared.id);
            let id = request.header("request-id");
            cut_head(
                stream,
                &[("request-id", id), ("response-seal", &seal)],
                size,
            )
            .await?;
            return Ok(false);
        }
        WorkerFault::Fail(status) => {
            answer(stream, status, &[], b"failed").await?;
            return Ok(true);
        }
        WorkerFault::FailDrip(status) => {
            open_chunked(stream, status, &[]).await?;
            drip(stream).await?;
        }
        WorkerFault::FailEndless(status) => {
            open_chunked(stream, status, &[]).await?;
            endless_body(stream).await?;
        }
        _ => (),
    }
    if shared.crashes_at(request) {
        return std::future::pending().await;
    }
    let seal = format!("seal.{}", shared.id);
    if let WorkerFault::EarlyEnd(_, pause) = fault {
        let id = request.header("request-id");
        early_end(
            stream,
            &[
                ("request-id", id),
                ("response-seal", &seal),
                ("content-type", "text/event-stream"),
            ],
            pause,
        )
        .await?;
        return Ok(false);
    }
    let status = match fault {
        WorkerFault::Status(status) => status,
        _ => 200,
    };
    let mut headers = vec![
        ("request-id", request.header("request-id")),
        ("response-seal", &seal),
        ("confidence", &confidence),
        ("content-type", "text/event-stream"),
        ("transfer-encoding", "chunked"),
    ];
    if fault == WorkerFault::Leaving {
        headers.push(("server-leaving", "1"));
    }
    let mut bytes = head(status, &headers);
    bytes.extend_from_slice(b"\r\n");
    stream.write_all(&bytes).await?;
    if fault == WorkerFault::EndlessBody {
        endless_body(stream).await?;
    }
    if fault == WorkerFault::Unending {
        let lines = "\n".repeat(EMPTY_LINES);
        loop {
            chunk(stream, &lines).await?;
        }
    }
    let done: u64 = request.header("last-event-id").parse().unwrap_or(0);
    for number in done + 1..=count {
        match fault {
            WorkerFault::Break(last) if number == last => {
                chunk(stream, &format!("id: {number}\nda")).await?;
                return Ok(false);
            }
            WorkerFault::Stall(last) if number > last => silent(stream).await?,
            WorkerFault::Drip(last) if number > last => drip(stream).await?,
            WorkerFault::Slow(time) => sleep(time).await,
            _ => sleep(pause).await,
        }
        chunk(stream, &format!("id: {number}\ndata: part {number}\n\n")).await?;
    }
    stream.write_all(b"0\r\n\r\n").await?;
    Ok(true)
}

/// Part of an answer: whole events, where it is a stream.
const PART_OF_ANSWER: &str = "id: 1\ndata: part 1\n\nid: 2\ndata: part 2\n\n";

/// Sends a part of an answer without a length, and breaks off.
async fn early_end(
    stream: &mut TcpStream,
    headers: &[(&str, &str)],
    pause: Option<Duration>,
) -> io::Result<()> {
    let mut bytes = head(200, headers);
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(PART_OF_ANSWER.as_bytes());
    stream.write_all(&bytes).await?;
    if let Some(pause) = pause {
        stream.shutdown().await?;
        sleep(pause).await;
    }
    reset(stream)
}

/// Sends the head of an answer whose body comes in chunks.
async fn open_chunked(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
) -> io::Result<()> {
    let mut bytes = head(status, headers);
    bytes.extend_from_slice(b"transfer-encoding: chunked\r\n\r\n");
    stream.write_all(&bytes).await
}

async fn chunk(stream: &mut TcpStream, text: &str) -> io::Result<()> {
    let bytes = format!("{:x}\r\n{text}\r\n", text.len());
    stream.write_all(bytes.as_bytes()).await
}

/// Empty lines that are sent at once.
const EMPTY_LINES: usize = 64 << 10;
/// Bytes that are sent at once at a steady pace, and the pause after them: 400 kB a second.
const PACED_BYTES: usize = 20_000;
const PACED_PAUSE: Duration = Duration::from_millis(50);

/// Bytes of one line of an endless head, and of one chunk of an endless body.
const ENDLESS_BYTES: usize = 1 << 10;

/// Time between two bytes of an answer that drips: no silence is long enough to be one.
const DRIP_PAUSE: Duration = Duration::from_millis(30);

/// Sends a byte now and then until the other side closes.
async fn drip(stream: &mut TcpStream) -> io::Result<()> {
    loop {
        sleep(DRIP_PAUSE).await;
        chunk(stream, "a").await?;
    }
}

/// Sends the first bytes of a head; the caller closes the connection.
async fn cut_head(stream: &mut TcpStream, headers: &[(&str, &str)], size: usize) -> io::Result<()> {
    let mut bytes = head(200, headers);
    bytes.extend_from_slice(b"content-length: 10\r\n\r\n");
    // The last byte of the head is never sent.
    let size = size.min(bytes.len() - 1);
    stream.write_all(&bytes[..size]).await
}

/// Sends headers until the other side closes.
async fn endless_head(stream: &mut TcpStream) -> io::Result<()> {
    stream.write_all(b"HTTP/1.1 200 OK\r\n").await?;
    let line = format!("x-more: {}\r\n", "a".repeat(ENDLESS_BYTES));
    loop {
        stream.write_all(line.as_bytes()).await?;
    }
}

/// Sends chunks that hold no event until the other side closes.
async fn endless_body(stream: &mut TcpStream) -> io::Result<()> {
    let text = "a".repeat(ENDLESS_BYTES);
    loop {
        chunk(stream, &text).await?;
    }
}

/// Says nothing until the other side closes.
async fn silent(stream: &mut TcpStream) -> io::Result<()> {
    stream.readable().await?;
    Err(io::ErrorKind::ConnectionAborted.into())
}

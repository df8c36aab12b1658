//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub first: String,
    /// Headers, with their names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
    /// Whether the body came to its announced end.
    pub complete: bool,
}

impl Message {
    /// Value of a header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    /// Method of a request.
    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    /// Path of a request.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// Parameter of the query, decoded.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(known, _)| *known == name).map(|(_, value)| decode(value))
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

fn decode(value: &str) -> String {
    let bytes = value.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| value.get(at + 1..at + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A connection.
pub struct Connection {
    /// Its socket.
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Wraps a socket.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self { reader: BufReader::new(stream.try_clone()?), stream })
    }

    /// Connects to an address.
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        Self::new(TcpStream::connect_timeout(&address, timeout)?)
    }

    /// Reads a line without its end; none at the end of the connection.
    pub fn line(&mut self) -> io::Result<Option<String>> {
        let mut line = Vec::new();
        if self.reader.read_until(b'\n', &mut line)? == 0 {
            return Ok(None);
        }
        while matches!(line.last(), Some(b'\n' | b'\r')) {
            line.pop();
        }
        Ok(Some(String::from_utf8_lossy(&line).into_owned()))
    }

    /// Reads a first line and headers; none at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let Some(first) = self.line()? else {
            return Ok(None);
        };
        let mut message = Message { first, ..Message::default() };
        loop {
            let line = self.line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
            if line.is_empty() {
                return Ok(Some(message));
            }
            let (name, value) = line.split_once(':').unwrap_or((&line, ""));
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }

    /// Reads bytes of a body.
    pub fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.reader.read(buffer)
    }

    /// Reads one chunk of a chunked body; an empty one is its end.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let size = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut data = vec![0; size];
        self.reader.read_exact(&mut data)?;
        self.line()?;
        Ok(data)
    }

    /// Reads the body that follows a head. A response may end with its connection.
    pub fn body(&mut self, message: &mut Message, is_response: bool) -> io::Result<()> {
        if message.header("transfer-encoding") == "chunked" {
            loop {
                let data = self.chunk()?;
                if data.is_empty() {
                    break;
                }
                message.body.extend(data);
            }
        } else if let Ok(length) = message.header("content-length").parse::<usize>() {
            let mut data = vec![0; length];
            self.reader.read_exact(&mut data)?;
            message.body = data;
        } else if is_response && !matches!(message.status(), 204 | 304) {
            self.reader.read_to_end(&mut message.body)?;
        }
        message.complete = true;
        Ok(())
    }

    /// Reads a whole message; none at the end of the connection.
    pub fn message(&mut self, is_response: bool) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        self.body(&mut message, is_response)?;
        Ok(Some(message))
    }

    /// Sends a response with a length.
    pub fn answer(&mut self, status: u16, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut text = format!("HTTP/1.1 {status} -\r\ncontent-length: {}\r\n", body.len());
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }

    /// Sends bytes.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// What became of a request of a client.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// A whole answer.
    Answer(Message),
    /// The connection ended, or the time was up, before a whole answer.
    Lost(String),
}

impl Outcome {
    /// Status of the answer; 0 without one.
    pub fn status(&self) -> u16 {
        match self {
            Outcome::Answer(message) => message.status(),
            Outcome::Lost(_) => 0,
        }
    }
}

/// Text of a request.
pub fn request(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" {
        text.push_str(&format!("content-length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a request over a new connection and waits for the answer.
pub fn call(address: SocketAddr, bytes: &[u8], time: Duration) -> Outcome {
    let started = Instant::now();
    let outcome = (|| -> io::Result<Message> {
        let mut connection = Connection::open(address, time.min(Duration::from_secs(1)))?;
        connection.stream.set_read_timeout(Some(time))?;
        connection.stream.set_write_timeout(Some(time))?;
        connection.write(bytes)?;
        connection.message(true)?.ok_or(io::ErrorKind::UnexpectedEof.into())
    })();
    match outcome {
        Ok(message) => Outcome::Answer(message),
        Err(error) => Outcome::Lost(format!("{error} after {} ms", started.elapsed().as_millis())),
    }
}

//! Just enough HTTP/1.1 for stand-ins.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// First line and headers of a message; names are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    /// Second word of the first line: the path of a request, the status of a response.
    pub fn second(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }
}

/// A request with its body.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub head: Head,
    pub body: Vec<u8>,
}

/// Reads messages from a connection.
pub struct Reader<'a> {
    stream: &'a TcpStream,
    buffer: Vec<u8>,
    /// When reading is given up.
    pub until: Option<Instant>,
}

impl<'a> Reader<'a> {
    pub fn new(stream: &'a TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
            until: None,
        }
    }

    /// Reads some more bytes; false at the end.
    fn fill(&mut self) -> io::Result<bool> {
        let time = match self.until {
            None => None,
            Some(until) => {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return Err(io::ErrorKind::TimedOut.into());
                }
                Some(left.max(Duration::from_millis(1)))
            }
        };
        self.stream.set_read_timeout(time)?;
        let mut bytes = [0; 16 << 10];
        let size = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..size]);
        Ok(size > 0)
    }

    /// Reads a head; none if the connection ended before it.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                break end;
            }
            if !self.fill()? {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        Ok(Some(Head { first, headers }))
    }

    /// What has been read beyond the last message.
    pub fn rest(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.buffer)
    }

    fn take(&mut self, size: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < size {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..size).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line = self.take(end + 2)?;
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body that belongs to a head. Without a length that of a response ends with its
    /// connection, and a request has none.
    pub fn body(&mut self, head: &Head, is_response: bool) -> io::Result<Vec<u8>> {
        if head
            .get("transfer-encoding")
            .eq_ignore_ascii_case("chunked")
        {
            let mut all = Vec::new();
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(size.trim(), 16);
                let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                all.extend(self.take(size)?);
                self.line()?;
                if size == 0 {
                    return Ok(all);
                }
            }
        }
        if let Ok(size) = head.get("content-length").parse() {
            return self.take(size);
        }
        while is_response && self.fill()? {}
        Ok(std::mem::take(&mut self.buffer))
    }

    /// Reads a request; none if the connection ended before it.
    pub fn request(&mut self) -> io::Result<Option<Request>> {
        let Some(head) = self.head()? else {
            return Ok(None);
        };
        let body = self.body(&head, false)?;
        Ok(Some(Request { head, body }))
    }
}

/// Writes a response with a length.
pub fn answer(
    mut stream: &TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = head(status, headers);
    bytes.extend_from_slice(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// First line and headers of a response, without the empty line.
pub fn head(status: u16, headers: &[(&str, &str)]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.into_bytes()
}

/// Writes a chunk of a body.
pub fn chunk(mut stream: &TcpStream, bytes: &[u8]) -> io::Result<()> {
    let mut all = format!("{:x}\r\n", bytes.len()).into_bytes();
    all.extend_from_slice(bytes);
    all.extend_from_slice(b"\r\n");
    stream.write_all(&all)
}

/// What a caller has got.
#[derive(Clone, Debug)]
pub enum Got {
    /// A whole response.
    Answer(Head, Vec<u8>),
    /// No whole response in the time that the caller waits.
    Nothing,
    /// The connection failed or ended.
    Broken(String),
}

impl Got {
    pub fn status(&self) -> u16 {
        match self {
            Self::Answer(head, _) => head.second().parse().unwrap_or(0),
            _ => 0,
        }
    }

    pub fn name(&self) -> String {
        match self {
            Self::Answer(head, _) => head.second().to_owned(),
            Self::Nothing => "no answer".to_owned(),
            Self::Broken(why) => format!("broken: {why}"),
        }
    }
}

/// Sends a request over a new connection and waits for the whole response until a time.
pub fn call(address: SocketAddr, text: &[u8], until: Instant) -> Got {
    match try_call(address, text, until) {
        Ok(got) => got,
        Err(error) => match error.kind() {
            io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => Got::Nothing,
            _ => Got::Broken(error.to_string()),
        },
    }
}

fn try_call(address: SocketAddr, text: &[u8], until: Instant) -> io::Result<Got> {
    let left = until.saturating_duration_since(Instant::now());
    let time = left.clamp(Duration::from_millis(1), Duration::from_secs(1));
    let stream = TcpStream::connect_timeout(&address, time)?;
    stream.set_nodelay(true)?;
    (&stream).write_all(text)?;
    let mut reader = Reader::new(&stream);
    reader.until = Some(until);
    loop {
        let Some(head) = reader.head()? else {
            return Ok(Got::Broken("closed".to_owned()));
        };
        if head.second().starts_with('1') {
            continue;
        }
        let body = reader.body(&head, true)?;
        return Ok(Got::Answer(head, body));
    }
}

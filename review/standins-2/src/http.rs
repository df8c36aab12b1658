//! Just enough HTTP/1.1 for stand-ins.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A request, or the head of an answer: its first line in words, and its headers in lower case.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: Vec<String>,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first
            .get(1)
            .and_then(|word| word.parse().ok())
            .unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        let target = self.target();
        target.split('?').next().unwrap_or(target)
    }

    pub fn target(&self) -> &str {
        self.first.get(1).map_or("", String::as_str)
    }

    pub fn parameter(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs
            .find(|(key, _)| *key == name)
            .map_or("", |(_, value)| value);
        unescape(value)
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = bytes
            .get(at + 1..at + 3)
            .and_then(|digits| std::str::from_utf8(digits).ok());
        match (
            bytes[at],
            code.and_then(|digits| u8::from_str_radix(digits, 16).ok()),
        ) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A connection with the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    pub rest: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            rest: Vec::new(),
        }
    }

    /// Reads more bytes; 0 at the end.
    pub fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16384];
        let count = self.stream.read(&mut bytes)?;
        self.rest.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// Reads a head; none at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.rest.windows(4).position(|part| part == b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        };
        let head: Vec<u8> = self.rest.drain(..end + 4).collect();
        let text = String::from_utf8_lossy(&head).into_owned();
        let mut lines = text.split("\r\n");
        let first = lines
            .next()
            .unwrap_or("")
            .split(' ')
            .map(str::to_owned)
            .collect();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        Ok(Some(Message {
            first,
            headers,
            body: Vec::new(),
        }))
    }

    /// Reads a request with its body, which has a length or none.
    pub fn request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut request) = self.head()? else {
            return Ok(None);
        };
        let length: usize = request.header("content-length").parse().unwrap_or(0);
        while self.rest.len() < length {
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
        request.body = self.rest.drain(..length).collect();
        Ok(Some(request))
    }

    /// Writes a head, with further headers.
    pub fn write_head(&mut self, status: u16, headers: &[(&str, &str)]) -> io::Result<()> {
        let mut text = format!("HTTP/1.1 {status} Status\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\n");
        self.stream.write_all(text.as_bytes())
    }

    /// Writes an answer with a length.
    pub fn answer(&mut self, status: u16, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let length = body.len().to_string();
        let mut all = headers.to_vec();
        all.push(("content-length", &length));
        self.write_head(status, &all)?;
        self.stream.write_all(body)
    }

    /// Writes a chunk of a body.
    pub fn chunk(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut out = format!("{:x}\r\n", bytes.len()).into_bytes();
        out.extend_from_slice(bytes);
        out.extend_from_slice(b"\r\n");
        self.stream.write_all(&out)
    }
}

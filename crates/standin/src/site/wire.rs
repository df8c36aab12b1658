//! Just enough HTTP/1.1 to misbehave on purpose.

use std::collections::BTreeMap;
use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longest head that is read, in bytes.
const MAX_HEAD: usize = 64 << 10;

/// A request as it came.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers with lowercase names.
    pub headers: BTreeMap<String, String>,
    /// Body.
    pub body: Vec<u8>,
}

impl Request {
    /// A header, empty when it is absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// A parameter of the query, decoded; none when it is absent.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let (_, query) = self.path.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs
            .filter(|(key, _)| *key == name)
            .map(|(_, value)| value)
            .next()?;
        Some(unescape(value))
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let code = text.get(index + 1..index + 3);
        match (
            bytes[index],
            code.and_then(|code| u8::from_str_radix(code, 16).ok()),
        ) {
            (b'%', Some(byte)) => {
                out.push(byte);
                index += 3;
            }
            (byte, _) => {
                out.push(byte);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads the head of a request and what has come of its body; none when the other side has closed.
pub async fn read_head(stream: &mut TcpStream) -> io::Result<Option<Request>> {
    let mut bytes = Vec::new();
    let head = loop {
        if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            break end;
        }
        if bytes.len() > MAX_HEAD {
            return Err(io::ErrorKind::InvalidData.into());
        }
        if stream.read_buf(&mut bytes).await? == 0 {
            return Ok(None);
        }
    };
    let text = String::from_utf8_lossy(&bytes[..head]).into_owned();
    let mut lines = text.lines();
    let mut first = lines.next().unwrap_or_default().split(' ');
    let mut request = Request {
        method: first.next().unwrap_or_default().to_owned(),
        path: first.next().unwrap_or_default().to_owned(),
        ..Request::default()
    };
    for (name, value) in lines.filter_map(|line| line.split_once(':')) {
        let name = name.to_ascii_lowercase();
        request.headers.insert(name, value.trim().to_owned());
    }
    request.body = bytes.split_off(head + 4);
    Ok(Some(request))
}

/// Reads the rest of a request's body, up to a number of bytes.
pub async fn read_body(
    stream: &mut TcpStream,
    request: &mut Request,
    most: usize,
) -> io::Result<()> {
    let length: usize = request.header("content-length").parse().unwrap_or(0);
    let length = length.min(most);
    while request.body.len() < length {
        if stream.read_buf(&mut request.body).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(())
}

/// Reads a request; none when the other side has closed.
pub async fn read(stream: &mut TcpStream) -> io::Result<Option<Request>> {
    let Some(mut request) = read_head(stream).await? else {
        return Ok(None);
    };
    read_body(stream, &mut request, usize::MAX).await?;
    Ok(Some(request))
}

/// Writes a whole answer.
pub async fn answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = head(status, headers);
    bytes.extend_from_slice(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).await
}

/// The head of an answer without its last line.
pub fn head(status: u16, headers: &[(&str, &str)]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status:03} Status\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.into_bytes()
}

/// Resets a connection.
pub fn reset(stream: &TcpStream) -> io::Result<()> {
    stream.set_zero_linger()
}

//! Headers that go on and those that don't.

use hyper::HeaderMap;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use platform::header;
use std::time::Duration;

/// Headers that concern one connection only.
const ONE_CONNECTION: [HeaderName; 9] = [
    CONNECTION,
    CONTENT_LENGTH,
    HeaderName::from_static("keep-alive"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes headers that concern one connection only: the known ones and those that the message
/// names as such.
pub fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in ONE_CONNECTION.iter().chain(&named) {
        headers.remove(name);
    }
}

/// A header as a number.
pub fn number(headers: &HeaderMap, name: &str) -> Option<f64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// How long a caller waits for the answer, if it tells.
pub fn time_left(headers: &HeaderMap) -> Option<Duration> {
    let left = number(headers, header::TIME_LEFT_MS)?;
    Duration::try_from_secs_f64(left / 1e3).ok()
}

/// A header as text.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

//! Access to request and response headers, and removal of hop-by-hop headers.

use hyper::HeaderMap;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use platform::header;
use std::time::Duration;

/// Hop-by-hop headers, and the length, which is set anew for each hop.
const HOP_BY_HOP: [HeaderName; 9] = [
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

/// Removes hop-by-hop headers: the standard ones and those listed in the `Connection` header.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&listed) {
        headers.remove(name);
    }
}

/// Removes from a response what concerns the node alone: hop-by-hop headers, and the pause that a
/// backend server asks for, which is no promise to a caller.
pub fn strip_response(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    headers.remove(header::RETRY_AFTER);
}

/// Parses a header as a number.
pub fn number(headers: &HeaderMap, name: &str) -> Option<f64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Time for which the caller waits for the response, if it says so.
pub fn remaining_time(headers: &HeaderMap) -> Option<Duration> {
    let left = number(headers, header::TIME_LEFT_MS)?;
    Duration::try_from_secs_f64(left / 1e3).ok()
}

/// Value of a header as text.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

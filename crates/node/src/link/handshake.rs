//! Proof of identity between two nodes, by a shared key.

use super::{Error, Peer};
use contract::Member;
use hmac::{Hmac, Mac};
use settings::Ring;
use sha2::Sha256;
use std::fmt::Write;
use wire::Hello;

/// Version of what goes over links.
const PROTOCOL: u32 = 1;
/// Length of a nonce.
const NONCE_BYTES: usize = 16;

/// A number used once, which the other end has to include in its proof.
pub(super) fn nonce() -> String {
    encode_hex(&rand::random::<[u8; NONCE_BYTES]>())
}

/// This node's greeting, with the proof for the other end's nonce.
pub(super) fn hello(me: &Member, keys: &Ring, nonce: &str) -> Hello {
    let mut hello = Hello {
        incarnation: me.incarnation,
        key: String::new(),
        link: me.link.clone(),
        node: me.node.clone(),
        protocol: PROTOCOL,
    };
    let keys = keys.keys();
    let key = keys.first().map_or("", |key| key.expose());
    hello.key = encode_hex(&mac(key, nonce, &hello).finalize().into_bytes());
    hello
}

/// Checks a greeting against all accepted keys, each in constant time.
pub(super) fn verify(hello: Hello, keys: &Ring, nonce: &str) -> Result<Peer, Error> {
    let tag = decode_hex(&hello.key).ok_or(Error::Greeting)?;
    let is_valid = |key: &str| mac(key, nonce, &hello).verify_slice(&tag).is_ok();
    let keys = keys.keys();
    let is_authentic = match keys.is_empty() {
        true => is_valid(""),
        false => keys.iter().any(|key| is_valid(key.expose())),
    };
    if !is_authentic || hello.protocol != PROTOCOL {
        return Err(Error::Greeting);
    }
    Ok(Peer {
        node: hello.node,
        incarnation: hello.incarnation,
        link: hello.link,
    })
}

fn mac(key: &str, nonce: &str, hello: &Hello) -> Hmac<Sha256> {
    // Keys of any length are taken, so this can't fail.
    let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(key.as_bytes()).expect("any key length");
    for part in [nonce, &hello.node, &hello.link] {
        mac.update(part.as_bytes());
        mac.update(&[0]);
    }
    mac.update(&hello.incarnation.to_be_bytes());
    mac.update(&hello.protocol.to_be_bytes());
    mac
}

fn encode_hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    let pairs = text.as_bytes().chunks(2);
    pairs
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok())
        .collect()
}

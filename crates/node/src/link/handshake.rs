//! Handshake in which two nodes authenticate each other with a shared key.

use super::{Error, Peer};
use contract::Member;
use hmac::{Hmac, Mac};
use settings::Keyring;
use sha2::Sha256;
use std::fmt::Write;
use wire::Hello;

/// Version of the link protocol.
const PROTOCOL: u32 = 1;
/// Length of a nonce in bytes.
const NONCE_BYTES: usize = 16;

/// Generates a nonce that the peer must include in its proof.
pub(super) fn nonce() -> String {
    encode_hex(&rand::random::<[u8; NONCE_BYTES]>())
}

/// Builds this node's hello, with a proof for the peer's nonce.
pub(super) fn hello(me: &Member, keys: &Keyring, nonce: &str) -> Hello {
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

/// Verifies a peer's hello against all accepted keys, each in constant time.
pub(super) fn verify(hello: Hello, keys: &Keyring, nonce: &str) -> Result<Peer, Error> {
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
    // HMAC accepts keys of any length, so this never fails.
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

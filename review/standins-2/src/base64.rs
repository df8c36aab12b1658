//! Base64 of the rows' values.

const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode(bytes: &[u8]) -> String {
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let number = part
            .iter()
            .fold(0u32, |sum, byte| sum << 8 | u32::from(*byte))
            << (8 * (3 - part.len()));
        for index in 0..4 {
            match index <= part.len() {
                true => out.push(LETTERS[(number >> (18 - 6 * index) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}

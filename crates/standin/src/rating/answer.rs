//! Text format of the answers of stand-in engines. An answer identifies the version and the prompt
//! that produced it, so that the rating service can score it and the caller can verify it.

use sha2::{Digest, Sha256};
use std::fmt;
use std::str::FromStr;

const WORDS: [&str; 8] = [
    "floor", "route", "hire", "tanker", "plan", "venue", "farm", "booking",
];
const END: &str = "end";

/// An answer of a stand-in engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// `model@version` that generated the answer.
    pub served: String,
    /// Digest of the prompt.
    pub prompt: String,
    /// Fraction of good answers configured for the version at that time.
    pub quality: f64,
    /// Number of words in the body, without the end marker.
    pub words: usize,
}

/// Returns a short digest of a prompt: the first 6 bytes of its SHA-256 hash in hexadecimal.
///
/// ```
/// assert_eq!(standin::rating::digest("a").len(), 12);
/// ```
pub fn digest(prompt: &str) -> String {
    let hash = Sha256::digest(prompt.as_bytes());
    hash.iter()
        .take(6)
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

/// Maps the parts to a number from 0 to 1 by their SHA-256 hash. Each part is prefixed with its
/// length, so that the result depends on where one part ends and the next begins.
///
/// ```
/// use standin::rating::unit_hash;
/// assert_eq!(unit_hash(&["a", "b"]), unit_hash(&["a", "b"]));
/// assert_ne!(unit_hash(&["a", "b"]), unit_hash(&["ab", ""]));
/// ```
pub fn unit_hash(parts: &[&str]) -> f64 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part.as_bytes());
    }
    let hash = hasher.finalize();
    let top = hash
        .iter()
        .take(4)
        .fold(0_u32, |sum, byte| (sum << 8) | u32::from(*byte));
    f64::from(top) / f64::from(u32::MAX)
}

impl Answer {
    /// Returns the tokens of the answer in the order in which they are streamed.
    ///
    /// ```
    /// use standin::rating::Answer;
    /// let answer = Answer { served: "small@1".into(), prompt: "0".into(), quality: 0.5, words: 2 };
    /// let text: String = answer.tokens().collect();
    /// assert_eq!(text.parse::<Answer>().ok(), Some(answer));
    /// assert!("small@1 0 0.5 2: floor".parse::<Answer>().is_err());
    /// ```
    pub fn tokens(&self) -> impl Iterator<Item = String> + use<> {
        let head = format!(
            "{} {} {} {}:",
            self.served, self.prompt, self.quality, self.words
        );
        let words = (0..self.words).map(|index| format!(" {}", WORDS[index % WORDS.len()]));
        std::iter::once(head)
            .chain(words)
            .chain(std::iter::once(format!(" {END}")))
    }
}

impl fmt::Display for Answer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.tokens()
            .try_for_each(|token| formatter.write_str(&token))
    }
}

/// Error for a text that is not a complete answer of a stand-in engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("not a complete answer of a stand-in engine")]
pub struct Malformed;

impl FromStr for Answer {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let (head, body) = text.split_once(':').ok_or(Malformed)?;
        let mut parts = head.split(' ');
        let mut part = || parts.next().ok_or(Malformed);
        let answer = Self {
            served: part()?.to_owned(),
            prompt: part()?.to_owned(),
            quality: part()?.parse().map_err(|_| Malformed)?,
            words: part()?.parse().map_err(|_| Malformed)?,
        };
        let expected: String = answer.tokens().skip(1).collect();
        if body == expected {
            Ok(answer)
        } else {
            Err(Malformed)
        }
    }
}

//! The serving node's answer to a hello.

use super::Refusal;
use serde::{Deserialize, Serialize};
use tokio_tungstenite::tungstenite::{Bytes, Message};

/// The serving node's answer to a hello.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// The backend server is connected.
    Connected,
    /// The tunnel is refused.
    Refused(Refusal),
}

impl Reply {
    /// Encodes the message.
    ///
    /// ```
    /// use edge::tunnel::{Refusal, Reply};
    ///
    /// let reply = Reply::Refused(Refusal::TooMany);
    /// assert_eq!(Reply::decode(&reply.encode().unwrap()), Some(reply));
    /// ```
    pub fn encode(self) -> Option<Message> {
        let mut bytes = Vec::new();
        ciborium::into_writer(&self, &mut bytes).ok()?;
        Some(Message::Binary(Bytes::from(bytes)))
    }

    /// Decodes the message; none if it is another.
    pub fn decode(message: &Message) -> Option<Self> {
        match message {
            Message::Binary(bytes) => ciborium::from_reader(bytes.as_ref()).ok(),
            _ => None,
        }
    }
}

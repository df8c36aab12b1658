//! First message on a tunnel.

use route::{NodeName, ServerId};
use serde::{Deserialize, Serialize};
use tokio_tungstenite::tungstenite::{Bytes, Message};

/// First message on a tunnel, sent by the opener.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// Id of the backend server. The serving node looks its address up, so that it connects to listed
    /// backend servers only.
    pub server: ServerId,
    /// Name of the opener.
    pub node: NodeName,
}

impl Hello {
    /// Encodes the message.
    ///
    /// ```
    /// use edge::tunnel::Hello;
    ///
    /// let hello = Hello { server: "i-1".to_owned(), node: "n".to_owned() };
    /// assert_eq!(Hello::decode(&hello.encode().unwrap()), Some(hello));
    /// ```
    pub fn encode(&self) -> Option<Message> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).ok()?;
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

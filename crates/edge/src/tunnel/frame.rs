//! Messages on an open tunnel.

use tokio_tungstenite::tungstenite::protocol::{
    CloseFrame, WebSocketConfig, frame::coding::CloseCode,
};
use tokio_tungstenite::tungstenite::{Bytes, Message};

/// Largest number of bytes in one message.
pub const MAX_CHUNK: usize = 16 << 10;
/// Size of the read buffer of a tunnel. Most chunks are events of a stream, which are far smaller; larger
/// ones grow it.
const READ_BUFFER: usize = 4 << 10;
/// Limit of the write buffer: one chunk and a few control messages, since a chunk is only added after the
/// one before was written.
const MAX_WRITE_BUFFER: usize = 4 * MAX_CHUNK;

/// A message on an open tunnel.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Frame {
    /// Bytes of the connection.
    Data(Bytes),
    /// The receiver may be sent this many bytes more.
    Credit(usize),
    /// The opener sends no more bytes.
    Finish,
    /// The backend server has closed its connection in order after it had taken this many bytes of the
    /// opener.
    End(u64),
    /// The connection to the backend server has failed.
    Reset(String),
}

impl Frame {
    /// Encodes the frame. Control frames are short texts, so that bytes need no header of their own.
    ///
    /// ```
    /// use edge::tunnel::Frame;
    ///
    /// assert_eq!(Frame::decode(Frame::Credit(5).encode()), Some(Frame::Credit(5)));
    /// assert_eq!(Frame::decode(Frame::End(7).encode()), Some(Frame::End(7)));
    /// ```
    pub fn encode(self) -> Message {
        match self {
            Self::Data(bytes) => Message::Binary(bytes),
            Self::Credit(bytes) => Message::text(bytes.to_string()),
            Self::Finish => Message::Binary(Bytes::new()),
            Self::End(taken) => close(CloseCode::Normal, &taken.to_string()),
            Self::Reset(reason) => close(CloseCode::Error, &reason),
        }
    }

    /// Decodes a message; none if it is no frame.
    pub fn decode(message: Message) -> Option<Self> {
        match message {
            Message::Binary(bytes) if bytes.is_empty() => Some(Self::Finish),
            Message::Binary(bytes) => Some(Self::Data(bytes)),
            Message::Text(text) => text.parse().ok().map(Self::Credit),
            Message::Close(Some(frame)) if frame.code == CloseCode::Normal => {
                frame.reason.parse().ok().map(Self::End)
            }
            Message::Close(Some(frame)) => Some(Self::Reset(frame.reason.to_string())),
            _ => None,
        }
    }
}

/// Longest reason that fits into a close frame, in bytes.
const MAX_REASON: usize = 123;

fn close(code: CloseCode, reason: &str) -> Message {
    let mut end = reason.len().min(MAX_REASON);
    while !reason.is_char_boundary(end) {
        end -= 1;
    }
    Message::Close(Some(CloseFrame {
        code,
        reason: reason[..end].into(),
    }))
}

/// WebSocket configuration of tunnels: each message is written at once, and buffers are small.
pub(super) fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER)
        .write_buffer_size(0)
        .max_write_buffer_size(MAX_WRITE_BUFFER)
        .max_message_size(Some(MAX_CHUNK))
        .max_frame_size(Some(MAX_CHUNK))
}

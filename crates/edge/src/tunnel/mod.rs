//! Tunnels: connections to backend servers through another node.
//!
//! A node that is partitioned from the backend servers opens a tunnel to a node that reaches them. A
//! tunnel is a WebSocket connection to the link address of that node with a path of its own:
//!
//! 1. The opener sends a [`Hello`] that names the backend server by its id; the other node answers
//!    with a [`Reply`].
//! 2. Both send [`Frame`]s. Bytes are sent only within a [`WINDOW`] that the receiver extends as it
//!    consumes them, so both can always read from the connection: neither memory nor the time until the
//!    end of the other side is noticed depends on a slow reader.
//! 3. At the end of the backend server's connection the serving node says whether the end was regular,
//!    and how many bytes of the opener the backend server's connection had taken until then.

mod error;
mod failure;
mod frame;
mod hello;
mod inbox;
mod refusal;
mod reply;
mod serve;
mod tunnel;
mod wakers;

pub use error::Error;
pub use failure::Failure;
pub use frame::{Frame, MAX_CHUNK};
pub use hello::Hello;
pub use inbox::{Inbox, WINDOW};
pub use refusal::Refusal;
pub use reply::Reply;
pub use serve::{PATH, serve};
pub use tunnel::Tunnel;

//! Links between nodes.

mod batch;
mod dial;
mod frame;
mod handle;
mod listen;
mod outbox;
mod run;
mod tick;

pub use batch::Batch;
pub use dial::dial;
pub use frame::{Change, Frame, Naming, Notices, decode_presence, encode_presence};
pub use handle::handle;
pub use listen::listen;
pub use tick::{send_announcements, send_heartbeats};

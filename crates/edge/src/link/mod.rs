//! Links between nodes.

mod dial;
mod frame;
mod listen;
mod outbox;
mod batch;
mod run;
mod handle;
mod tick;

pub use dial::dial;
pub use frame::{Change, Frame, Notices};
pub use listen::listen;
pub use batch::Batch;
pub use handle::handle;
pub use tick::{send_heartbeats, send_announcements};

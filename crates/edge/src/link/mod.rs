//! Links between nodes.

mod dial;
mod frame;
mod listen;
mod serve;
mod tick;

pub use dial::dial;
pub use frame::{Change, Frame};
pub use listen::listen;
pub use tick::tick;

//! Links between nodes.

mod dial;
mod frame;
mod listen;
mod serve;

pub use dial::dial;
pub use listen::listen;

//! Detection of poison parts: parts of prompts that crash the backend servers that begin to answer
//! requests with them, whatever else the requests hold.

mod admission;
mod block;
mod detector;
mod part;
mod settings;

pub use admission::Admission;
pub use block::Block;
pub use detector::{Detector, Part, RequestTag};
pub use settings::Settings;

//! A whole fleet for tests: stand-ins in this process, real nodes as processes, and a
//! fault-injecting proxy between any two of them.

mod binary;
mod caller;
mod config;
mod engines;
mod load;
mod log;
mod node;
mod operator;
mod platform;
mod process;
mod running;
mod settings;
mod watch;

pub use binary::{node_binary, program};
pub use caller::{Ask, Call, Caller, Entry, Session};
pub use config::sample;
pub use engines::Backend;
pub use load::{Load, Mix};
pub use log::Log;
pub use node::Node;
pub use operator::{Edit, Operator};
pub use platform::Platform;
pub use process::Process;
pub use running::Fleet;
pub use settings::Settings;
pub use watch::Watch;

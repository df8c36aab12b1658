//! Record of every run started by a backend server, collected in one process or over HTTP.

mod recorder;
mod run;
mod server;

pub use recorder::Recorder;
pub use run::Run;
pub use server::{Server, Settings};

//! Record of every run that a backend server started.

mod recorder;
mod run;
mod server;

pub use recorder::Recorder;
pub use run::Run;
pub use server::{Server, Settings};

//! What happened in a test, and whether each promise held.
//!
//! A [`History`] holds what callers sent and got, what backend servers really ran, what was
//! really billed, and what operators changed. [`History::violations`] checks all twelve promises.

mod bill;
mod bounds;
mod change;
mod check;
mod event;
mod promise;
mod record;
mod request;
mod server;

pub use bill::Bill;
pub use bounds::Bounds;
pub use change::{Change, Intent};
pub use event::{Interruption, Leaving, Reading, Stop};
pub use promise::{Promise, Violation};
pub use record::History;
pub use request::{Outcome, Ran, Request, Target};
pub use server::Server;

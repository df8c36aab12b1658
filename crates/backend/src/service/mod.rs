//! Client of plain services.

mod call;
mod client;
mod reply;

pub use call::Call;
pub use client::Service;
pub use reply::Reply;

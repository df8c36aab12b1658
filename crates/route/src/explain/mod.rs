//! Messages of the endpoint that explains placements.

mod reply;
mod request;

pub use reply::Reply;
pub use request::Request;

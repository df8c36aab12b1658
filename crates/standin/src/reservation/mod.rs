//! Reservation service that reads and confirms bookings. It does not deduplicate requests, so a
//! repeated confirmation creates another booking.

mod server;

pub use server::{Server, Settings};

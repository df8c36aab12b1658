//! Reservation service: bookings that are read and confirmed, without any check for repetition.

mod server;

pub use server::{Server, Settings};

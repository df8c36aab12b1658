//! The view, driven without sockets.

mod scenarios;
mod schedules;
mod world;

//! The view, driven without sockets.

mod replays;
mod scenarios;
mod schedules;
mod world;

//! Tests of the view on simulated links.

mod replays;
mod scenarios;
mod schedules;
mod world;

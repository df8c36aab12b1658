//! Measurements, each a subcommand in a module of its own; prints a table and JSON.

mod capacity;
mod control;
mod faults;
mod path;
mod policy;
mod usage;

use bpaf::Bpaf;
use standin::Error;
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::alloc::System;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// What to measure.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
enum Command {
    /// What a node adds to a request
    #[bpaf(command)]
    Path(#[bpaf(external(path::settings))] path::Settings),
    /// What control costs a node
    #[bpaf(command)]
    Control(#[bpaf(external(control::settings))] control::Settings),
    /// Decisions against baselines
    #[bpaf(command)]
    Policy(#[bpaf(external(policy::settings))] policy::Settings),
    /// Scenarios of failures by seed
    #[bpaf(command)]
    Faults(#[bpaf(external(faults::settings))] faults::Settings),
    /// Slopes for the capacity page
    #[bpaf(command)]
    Capacity(#[bpaf(external(capacity::settings))] capacity::Settings),
}

#[rocket::main]
async fn main() -> Result<(), Error> {
    env_logger::init();
    match command().run() {
        Command::Path(settings) => path::run(settings).await,
        Command::Control(settings) => control::run(settings).await,
        Command::Policy(settings) => policy::run(settings).await,
        Command::Faults(settings) => faults::run(settings).await,
        Command::Capacity(settings) => capacity::run(settings).await,
    }
}

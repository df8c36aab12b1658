//! The fault soak by hand: `cargo run -p standin --example soak -- --from 1 --count 50`.

use bpaf::Bpaf;
use standin::Error;
use standin::soak::{Settings, run};
use std::process::ExitCode;
use std::time::Duration;

/// Runs seeds of the fault soak, one after the other.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Options {
    /// First seed
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    from: u64,
    /// Seeds to run
    #[bpaf(argument("N"), fallback(50), display_fallback)]
    count: u64,
    /// Seconds in which faults begin
    #[bpaf(argument("S"), fallback(6), display_fallback)]
    seconds: u64,
    /// Nodes
    #[bpaf(argument("N"), fallback(3), display_fallback)]
    nodes: u8,
    /// Backend servers of each service
    #[bpaf(argument("N"), fallback(3), display_fallback)]
    workers: usize,
    /// Callers
    #[bpaf(argument("N"), fallback(8), display_fallback)]
    callers: usize,
}

#[tokio::main]
async fn main() -> Result<ExitCode, Error> {
    let options = options().run();
    let mut failed = 0;
    for seed in options.from..options.from + options.count {
        let settings = Settings {
            seed,
            time: Duration::from_secs(options.seconds),
            nodes: options.nodes,
            workers: options.workers,
            callers: options.callers,
        };
        let report = run(settings).await?;
        println!(
            "seed {seed}: {} of {} served",
            report.served, report.attempts
        );
        for broken in &report.broken {
            println!("seed {seed}: {broken}");
        }
        failed += u64::from(!report.broken.is_empty());
    }
    println!("{} seeds, {failed} with a broken promise", options.count);
    match failed {
        0 => Ok(ExitCode::SUCCESS),
        _ => Ok(ExitCode::FAILURE),
    }
}

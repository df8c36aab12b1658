//! Command line entry point of the sardinebank node and of the entry node.

use settings::node::Command;
use std::process::ExitCode;

/// Subcommand that starts an entry node on the operators' platform.
const EDGE: &str = "edge";

/// Line width of help texts in characters.
const HELP_WIDTH: usize = 100;

fn main() -> ExitCode {
    if std::env::args().nth(1).as_deref() == Some(EDGE) {
        return run_edge();
    }
    let settings = match settings::node::read() {
        Ok(Command::Run(settings)) => settings,
        Ok(Command::Print(list)) => {
            print!("{list}");
            return ExitCode::SUCCESS;
        }
        Err(error) => error.exit(),
    };
    if let Err(error) = settings::log::init(&settings.log, settings.log_format) {
        eprintln!("sardinebank: {error}");
        return ExitCode::FAILURE;
    }
    match start(*settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => log_failure(&error),
    }
}

fn start(settings: settings::node::Settings) -> Result<(), node::RunError> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.workers)
        .enable_all()
        .build()
        .map_err(node::RunError::Runtime)?
        .block_on(node::run(settings))
}

fn run_edge() -> ExitCode {
    let args: Vec<_> = std::env::args_os().skip(2).collect();
    let options = match edge::options().run_inner(args.as_slice()) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            return ExitCode::from(failure.exit_code() as u8);
        }
    };
    let code = match edge::run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // Printed as well, since the logger may be what failed to start.
            eprintln!("sardinebank: {error}");
            log_failure(&error)
        }
    };
    log::logger().flush();
    code
}

fn log_failure(error: &dyn std::error::Error) -> ExitCode {
    log::error!(event = 1003; "node terminated with an error: {error}");
    ExitCode::FAILURE
}

//! The sardinebank node.

use settings::node::Command;
use std::process::ExitCode;

fn main() -> ExitCode {
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
        Err(error) => {
            log::error!(event = 1003; "node failed: {error}");
            ExitCode::FAILURE
        }
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

//! `sardinectl`, the command-line tool for operators.

mod change;
mod client;
mod command;
mod error;
mod files;
mod options;
mod output;

use error::Error;
use options::Options;
use output::Output;
use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let options = options::options().run();
    let output = Output::new(options.json);
    match run(options, &output).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            output.print_error(&error);
            error.exit_status().into()
        }
    }
}

async fn run(options: Options, output: &Output) -> Result<(), Error> {
    let Options {
        command,
        connection,
        ..
    } = options;
    command::run(command, connection, output).await
}

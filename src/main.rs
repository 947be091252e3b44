//! The `sumacbend` program: runs the command given on the command line, and exits with a
//! failure status if the command fails.

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sumacbend: {error}");
            ExitCode::FAILURE
        }
    }
}

//! The program: reads the command line and exits with what came of it.

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

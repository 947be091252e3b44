//! The command line, with one module for each command.

mod arguments;
mod check;
mod error;
mod job;
mod logging;
mod serve;

use arguments::{Arguments, Command, Files};
use clap::Parser;
use error::CliError;
use sumacbend::policy::Policy;
use sumacbend::settings::Settings;
use tokio::runtime::{Builder, Runtime};

/// Runs the command given on the command line.
pub fn run() -> Result<(), CliError> {
    match Arguments::parse().command {
        Command::Serve(files) => serve::serve(&files),
        Command::Check(files) => check::check(&files),
        Command::Job(command) => job::run(command),
    }
}

/// Loads and checks the settings and the policy script.
fn load(files: &Files) -> Result<(Settings, Policy), CliError> {
    let settings = Settings::load(&files.config)?;
    let policy = Policy::load(files.policy.as_deref())?;
    Ok((settings, policy))
}

/// Creates a single-threaded runtime: a controller has only a small fraction of one CPU.
fn async_runtime() -> Result<Runtime, CliError> {
    Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CliError::AsyncRuntime)
}

//! The command line: one module for each command, and what they share.

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

/// Carries out the command that this process was started with.
pub fn run() -> Result<(), CliError> {
    match Arguments::parse().command {
        Command::Serve(files) => serve::serve(&files),
        Command::Check(files) => check::check(&files),
        Command::Job(command) => job::run(command),
    }
}

fn load(files: &Files) -> Result<(Settings, Policy), CliError> {
    let settings = Settings::load(&files.config)?;
    let policy = Policy::load(files.policy.as_deref())?;
    Ok((settings, policy))
}

/// One thread serves all: a controller has a small part of one processor.
fn async_runtime() -> Result<Runtime, CliError> {
    Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CliError::AsyncRuntime)
}

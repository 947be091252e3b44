//! Why a command failed, as the user reads it.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use sumacbend::policy::PolicyError;
use sumacbend::runtime::{RequestError, ServeError};
use sumacbend::settings::SettingsError;
use thiserror::Error;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CliError {
    /// The settings file is refused.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The policy script is refused.
    #[error(transparent)]
    Policy(#[from] PolicyError),
    /// The environment asks for a log level that there isn't.
    #[error("LOG_LEVEL is `{0}`, not error, info or debug")]
    LogLevel(String),
    /// The system gives no means to wait for input and output.
    #[error("cannot start the asynchronous runtime: {0}")]
    AsyncRuntime(#[source] io::Error),
    /// The controller could not start, or stopped.
    #[error(transparent)]
    Serve(#[from] ServeError),
    /// The description of a job can't be read.
    #[error("cannot read {}: {source}", path.display())]
    ReadJob {
        /// Path of the description.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// The controller gave no answer.
    #[error("no answer from {server}: {source}")]
    NoAnswer {
        /// Address of the controller.
        server: SocketAddr,
        /// What became of the request.
        source: RequestError,
    },
    /// The controller answered that it won't do it.
    #[error("refused with status {status}")]
    Refused {
        /// Status of the HTTP response.
        status: u16,
    },
}

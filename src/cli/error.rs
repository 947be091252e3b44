//! Errors of the commands, with the messages shown to the user.

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
    /// The settings file could not be read or is not valid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The policy script could not be read or is not valid.
    #[error(transparent)]
    Policy(#[from] PolicyError),
    /// The environment variable `LOG_LEVEL` names no log level.
    #[error("LOG_LEVEL must be error, info or debug, but is `{0}`")]
    LogLevel(String),
    /// The asynchronous runtime could not be started.
    #[error("cannot start the asynchronous runtime: {0}")]
    AsyncRuntime(#[source] io::Error),
    /// The controller could not start or did not keep running.
    #[error(transparent)]
    Serve(#[from] ServeError),
    /// The file that describes a job could not be read.
    #[error("cannot read {}: {source}", path.display())]
    ReadJob {
        /// Path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The controller did not answer.
    #[error("no answer from {server}: {source}")]
    NoAnswer {
        /// Address of the controller.
        server: SocketAddr,
        /// Why there is no answer, and whether the request may have been executed.
        source: RequestError,
    },
    /// The controller refused the request.
    #[error("the controller refused the request with status {status}")]
    Refused {
        /// Status code of the HTTP response.
        status: u16,
    },
}

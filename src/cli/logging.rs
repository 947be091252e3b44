//! Logging to the standard error stream.

use super::error::CliError;
use std::env;
use tracing::level_filters::LevelFilter;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Environment variable that sets the log level.
const LOG_LEVEL_VARIABLE: &str = "LOG_LEVEL";

/// Starts logging at the level set in the environment.
pub fn start() -> Result<(), CliError> {
    let level = level_from_env()?;
    // Lines of the `poem` target below WARN are left out.
    let targets = Targets::new()
        .with_default(level)
        .with_target("poem", LevelFilter::WARN.min(level));
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false);
    tracing_subscriber::registry().with(lines).with(targets).init();
    Ok(())
}

/// Returns the level set in the environment, or `info` if none is set.
fn level_from_env() -> Result<LevelFilter, CliError> {
    let Ok(name) = env::var(LOG_LEVEL_VARIABLE) else {
        return Ok(LevelFilter::INFO);
    };
    match name.as_str() {
        "error" => Ok(LevelFilter::ERROR),
        "info" => Ok(LevelFilter::INFO),
        "debug" => Ok(LevelFilter::DEBUG),
        _ => Err(CliError::LogLevel(name)),
    }
}

//! The log, which goes to the standard error stream.

use super::error::CliError;
use std::env;
use tracing::level_filters::LevelFilter;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Environment variable that sets how much is logged.
const LEVEL_VARIABLE: &str = "LOG_LEVEL";

/// Logs from now on, as much as the environment asks for.
pub fn start() -> Result<(), CliError> {
    let level = level()?;
    // The HTTP library tells of every connection that idles out.
    let targets = Targets::new()
        .with_default(level)
        .with_target("poem", LevelFilter::WARN.min(level));
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false);
    tracing_subscriber::registry().with(lines).with(targets).init();
    Ok(())
}

fn level() -> Result<LevelFilter, CliError> {
    let Ok(name) = env::var(LEVEL_VARIABLE) else {
        return Ok(LevelFilter::INFO);
    };
    match name.as_str() {
        "error" => Ok(LevelFilter::ERROR),
        "info" => Ok(LevelFilter::INFO),
        "debug" => Ok(LevelFilter::DEBUG),
        _ => Err(CliError::LogLevel(name)),
    }
}

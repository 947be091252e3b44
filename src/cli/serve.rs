//! `sumacbend serve`: runs a controller.

use super::arguments::Files;
use super::error::CliError;
use super::{async_runtime, load, logging};
use sumacbend::runtime;

/// Runs a controller until it is killed.
pub fn serve(files: &Files) -> Result<(), CliError> {
    logging::start()?;
    let (settings, policy) = load(files)?;
    for warning in settings.warnings() {
        tracing::warn!("{warning}");
    }
    async_runtime()?.block_on(runtime::serve(settings, policy))?;
    Ok(())
}

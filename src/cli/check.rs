//! `sumacbend check`: checks the files that a controller is configured with.

use super::arguments::Files;
use super::error::CliError;
use super::load;

/// Checks the settings and the policy script, and prints a summary of them.
pub fn check(files: &Files) -> Result<(), CliError> {
    let (settings, policy) = load(files)?;
    println!(
        "node {} in {}, serving on {}",
        settings.node, settings.zone, settings.listen
    );
    println!(
        "{} other controllers, {} teams, zones {}",
        settings.peers.len(),
        settings.params.teams.len(),
        settings.params.zones.join(", ")
    );
    for warning in settings.warnings() {
        println!("warning: {warning}");
    }
    for (name, value) in policy.entries() {
        println!("policy {name} = {value}");
    }
    Ok(())
}

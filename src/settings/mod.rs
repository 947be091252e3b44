//! The settings file that the platform hands over. Unknown fields are ignored;
//! missing or nonsensical ones are refused by name.

mod connection_limits;
mod lease_timing;
mod validation;

pub use connection_limits::ConnectionLimits;
pub use validation::{InvalidSetting, Problem};

use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why there are no settings to start with.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("cannot read {}: {source}", path.display())]
    Read {
        /// Path of the settings file.
        path: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// The file is not TOML, or a required field is missing or of another type.
    #[error("not a valid settings file: {0}")]
    Parse(#[from] toml::de::Error),
    /// A field has a value that no controller can work with.
    #[error(transparent)]
    Invalid(#[from] InvalidSetting),
}

/// The settings of one controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// Name of this controller, unique among all controllers.
    pub node: String,
    /// Zone in which this controller runs.
    #[serde(rename = "location")]
    pub zone: String,
    /// Address on which users, workers and health checks are served.
    #[serde(rename = "serve_on")]
    pub listen: SocketAddr,
    /// Address on which the other controllers' links are accepted.
    pub peer_listen: SocketAddr,
    /// The other controllers.
    #[serde(rename = "seeds", default)]
    pub peers: Vec<Peer>,
    /// Addresses of the services that the controllers depend on.
    #[serde(rename = "external")]
    pub services: Services,
    /// Parameters of the site, the same for all controllers.
    pub params: Params,
}

/// Another controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Peer {
    /// Name of that controller.
    pub node: String,
    /// Zone in which it runs.
    #[serde(rename = "location")]
    pub zone: String,
    /// Address on which it accepts links from other controllers.
    pub address: SocketAddr,
}

/// Addresses of the services that the controllers depend on.
#[derive(Clone, Debug, Deserialize)]
pub struct Services {
    /// The cloud, which rents machines out.
    pub cloud: SocketAddr,
    /// The state service, which holds all lasting state.
    pub state: SocketAddr,
}

/// Parameters of the site.
#[derive(Clone, Debug, Deserialize)]
pub struct Params {
    /// Zones in which machines can be rented.
    pub zones: Vec<String>,
    /// Bound on how far the wall clocks of two machines differ, in milliseconds.
    #[serde(rename = "time_bound_ms")]
    pub max_clock_skew_ms: f64,
    /// Teams that submit jobs.
    pub teams: Vec<Team>,
    /// What the site is expected to achieve.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Timing of the workers.
    pub workers: WorkerTiming,
    /// Limits of the state service.
    pub state: StoreLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Limits on this process.
    #[serde(rename = "quota")]
    pub limits: Limits,
}

/// What a team is guaranteed and how much it may use at most.
#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    /// Name of the team, unique among all teams.
    pub name: String,
    /// Guaranteed processors.
    pub cpus: f64,
    /// Most processors used at once.
    pub cpus_max: f64,
    /// Guaranteed accelerators.
    pub gpus: f64,
    /// Most accelerators used at once.
    pub gpus_max: f64,
}

/// A service level objective of the site.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// What is measured.
    pub kind: String,
    /// Class of jobs it is about, where it is about one.
    #[serde(default)]
    pub class: Option<String>,
    /// Time within which it is to happen, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
}

/// Timing of the workers.
#[derive(Clone, Debug, Deserialize)]
pub struct WorkerTiming {
    /// Interval between two reports of a worker, in seconds.
    pub report_s: f64,
    /// How long a worker keeps its tasks without an answer, in seconds.
    pub lease_s: f64,
    /// Longest time for which tasks may outlast the cancellation of their job, in
    /// seconds.
    pub cancel_s: f64,
}

/// Limits of the state service.
#[derive(Clone, Debug, Deserialize)]
pub struct StoreLimits {
    /// Requests a second.
    pub rps: f64,
    /// Puts and deletes a second.
    pub write_rps: f64,
    /// Largest value, in kilobytes.
    pub value_kb: f64,
    /// Most operations in one transaction.
    pub txn_ops: u32,
}

/// Limits of the cloud.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    /// Requests a second.
    pub rps: f64,
    /// How long a change may take to show in the list of machines, in seconds.
    pub list_lag_s: f64,
}

/// Limits on this process.
#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    /// Processors that it may use, a fraction of one or more.
    #[serde(rename = "cores")]
    pub cpu_share: f64,
    /// Memory, in units of a million bytes.
    pub memory_mb: f64,
    /// Sockets open at once.
    pub max_connections: u32,
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
            path: path.to_owned(),
            source,
        })?;
        Settings::parse(&text)
    }

    /// Reads and checks the text of a settings file.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = toml::from_str(text)?;
        settings.validate()?;
        Ok(settings)
    }
}

#[cfg(test)]
pub mod tests;

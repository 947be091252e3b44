//! The settings file that the platform provides. Unknown fields are ignored. A missing field
//! or an unusable value is an error that names the field.

mod connection_limits;
mod lease_timing;
mod validation;

pub use connection_limits::ConnectionLimits;
pub use validation::{InvalidSetting, Problem};

use connection_limits::BYTES_PER_KIB;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why the settings could not be loaded.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Read {
        /// Path of the settings file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is not TOML, or a required field is missing or has the wrong type.
    #[error("not a valid settings file: {0}")]
    Parse(#[from] toml::de::Error),
    /// A field has a value that is not accepted.
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
    /// Address on which links from the other controllers are accepted.
    pub peer_listen: SocketAddr,
    /// The other controllers, to which this one keeps links.
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
    /// Name of the controller.
    pub node: String,
    /// Zone in which the controller runs.
    #[serde(rename = "location")]
    pub zone: String,
    /// Address on which the controller accepts links from other controllers.
    pub address: SocketAddr,
}

/// Addresses of the services that the controllers depend on.
#[derive(Clone, Debug, Deserialize)]
pub struct Services {
    /// The cloud API, through which machines are rented.
    pub cloud: SocketAddr,
    /// The state service, which stores all persistent state.
    pub state: SocketAddr,
}

/// Parameters of the site, the same for all controllers.
#[derive(Clone, Debug, Deserialize)]
pub struct Params {
    /// Zones in which machines can be rented.
    pub zones: Vec<String>,
    /// Maximum difference between the wall clocks of two machines, in milliseconds.
    #[serde(rename = "time_bound_ms")]
    pub max_clock_skew_ms: f64,
    /// Teams that submit jobs.
    pub teams: Vec<Team>,
    /// Service level objectives of the site.
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

/// The guaranteed resources and the limits of a team.
#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    /// Name of the team, unique among all teams.
    pub name: String,
    /// Number of guaranteed CPUs.
    pub cpus: f64,
    /// Maximum number of CPUs used at once.
    pub cpus_max: f64,
    /// Number of guaranteed GPUs.
    pub gpus: f64,
    /// Maximum number of GPUs used at once.
    pub gpus_max: f64,
}

/// A service level objective of the site.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// What is measured: `wait` is the time until a job starts and `finished` the time until it
    /// is complete. Objectives of other kinds have no effect.
    pub kind: String,
    /// Class of jobs that the objective applies to. An objective without a class has no effect.
    #[serde(default)]
    pub class: Option<String>,
    /// Time limit in seconds. An objective without a time limit has no effect.
    #[serde(default)]
    pub within_s: Option<f64>,
}

/// Timing of the workers.
#[derive(Clone, Debug, Deserialize)]
pub struct WorkerTiming {
    /// Interval between two reports of a worker, in seconds.
    pub report_s: f64,
    /// How long a worker keeps its tasks without an answer to its reports, in seconds.
    pub lease_s: f64,
    /// Maximum time for which tasks may outlast the cancellation of their job, in seconds.
    pub cancel_s: f64,
}

/// Limits of the state service.
#[derive(Clone, Debug, Deserialize)]
pub struct StoreLimits {
    /// Maximum number of requests per second.
    pub rps: f64,
    /// Maximum number of puts and deletes per second.
    pub write_rps: f64,
    /// Maximum size of a value, in KiB.
    pub value_kb: f64,
    /// Maximum number of operations in one transaction.
    pub txn_ops: u32,
}

impl StoreLimits {
    /// Returns the maximum size of a value in bytes.
    pub fn value_bytes(&self) -> usize {
        (self.value_kb * BYTES_PER_KIB) as usize
    }
}

/// Limits of the cloud.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    /// Maximum number of requests per second.
    pub rps: f64,
    /// Maximum delay before a change appears in the list of machines, in seconds.
    pub list_lag_s: f64,
}

/// Limits on this process.
#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    /// CPU time that the process may use, in CPUs; may be a fraction of one CPU.
    #[serde(rename = "cores")]
    pub cpu_share: f64,
    /// Maximum memory, in units of a million bytes.
    pub memory_mb: f64,
    /// Maximum number of open sockets.
    pub max_connections: u32,
}

impl Settings {
    /// Reads, parses and validates a settings file.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
            path: path.to_owned(),
            source,
        })?;
        Settings::parse(&text)
    }

    /// Parses and validates the text of a settings file.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = toml::from_str(text)?;
        settings.validate()?;
        Ok(settings)
    }
}

#[cfg(test)]
pub mod tests;

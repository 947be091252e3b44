//! The settings file that the platform hands over. Unknown fields are ignored;
//! missing or nonsensical ones are refused by name.

use serde::Deserialize;
use std::{collections::HashSet, net::SocketAddr, path::Path};
use thiserror::Error;

#[derive(Debug, Error)]
pub enum SettingsError {
    #[error("cannot read {path}: {source}")]
    Read { path: String, source: std::io::Error },
    #[error("not a valid settings file: {0}")]
    Parse(#[from] toml::de::Error),
    #[error("setting `{field}`: {reason}")]
    Invalid { field: String, reason: String },
}

/// Drift of two clocks against each other, and time for an expiry to be noticed.
const DRIFT: f64 = 1.002;
const SETTLE_S: f64 = 1.0;
/// Watched keys are read once a second; two reads in a row may fail.
const LEAST_WATCH_CACHE_AGE_MS: crate::Millis = 2_500;
const MOST_WATCH_CACHE_AGE_MS: crate::Millis = 5_000;

/// Memory that one connection takes at most while it is idle: the buffers of the
/// HTTP library, its task and socket. Measured on this program with a thousand
/// idle connections (docs/operations.md).
const CONNECTION_BYTES: f64 = 20.0 * 1024.0;
/// Part of the memory that connections may take.
const CONNECTIONS_MEMORY_PART: f64 = 0.45;
/// Part of the sockets for connections that wait to be accepted. Without any left the
/// state service could not be reached either.
const BACKLOG_PART: f64 = 0.1;
/// Parts of all connections: kept idle to workers, and with a command in flight.
const KEPT_IDLE_PART: f64 = 0.24;
const IN_FLIGHT_PART: f64 = 0.12;
/// Connections to the state service, the cloud and the other controllers.
const FIXED_CONNECTIONS: u32 = 40;
/// Part of the memory for submissions in hand, each of which is held up to three times:
/// as it came, as it was read, and as it is written or forwarded.
const BODIES_MEMORY_PART: f64 = 0.02;
/// Events waiting beside one report for each connection.
const SPARE_EVENTS: usize = 1_024;

/// Below these a controller can't serve a fleet of any size: the program with its
/// first messages takes some 10 MB (docs/operations.md).
const LEAST_MEMORY_MB: f64 = 24.0;
const LEAST_CONNECTIONS: u32 = 64;

/// How many connections may be open for each purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Connections {
    /// From workers, users and health checks.
    pub served: u32,
    /// To workers, kept open between commands.
    pub kept_idle: usize,
    /// To workers, with a command in flight.
    pub in_flight: usize,
    /// Waiting to be accepted.
    pub backlog: u32,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    pub node: String,
    #[serde(rename = "location")]
    pub zone: String,
    #[serde(rename = "serve_on")]
    pub listen: SocketAddr,
    pub peer_listen: SocketAddr,
    #[serde(rename = "seeds", default)]
    pub peers: Vec<Peer>,
    #[serde(rename = "external")]
    pub services: Services,
    pub params: Params,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Peer {
    pub node: String,
    #[serde(rename = "location")]
    pub zone: String,
    pub address: SocketAddr,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Services {
    pub cloud: SocketAddr,
    pub state: SocketAddr,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Params {
    pub zones: Vec<String>,
    #[serde(rename = "time_bound_ms")]
    pub clock_off_ms: f64,
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: Workers,
    pub state: State,
    pub cloud: Cloud,
    #[serde(rename = "quota")]
    pub limits: Limits,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    pub name: String,
    pub cpus: f64,
    pub cpus_max: f64,
    pub gpus: f64,
    pub gpus_max: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: Option<String>,
    #[serde(default)]
    pub within_s: Option<f64>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct State {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: u32,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Cloud {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    #[serde(rename = "cores")]
    pub cpu_share: f64,
    pub memory_mb: f64,
    pub max_connections: u32,
}

impl Settings {
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
            path: path.display().to_string(),
            source,
        })?;
        Settings::parse(&text)
    }

    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = toml::from_str(text)?;
        settings.validate()?;
        Ok(settings)
    }

    /// After this much time without an answer a worker has surely dropped its tasks.
    pub fn lease_expiry_ms(&self) -> crate::Millis {
        crate::millis(self.params.workers.lease_s * DRIFT) + crate::millis(SETTLE_S)
    }

    /// How old the leader's knowledge of cancellations may be while it answers
    /// workers: from the confirmation of a cancellation until the lease that the
    /// last answer renewed has surely expired, no more than `cancel_s` may pass.
    pub fn max_watch_cache_age_ms(&self) -> crate::Millis {
        let workers = &self.params.workers;
        let rest_s = workers.cancel_s - workers.lease_s * DRIFT - SETTLE_S;
        crate::millis(rest_s).clamp(LEAST_WATCH_CACHE_AGE_MS, MOST_WATCH_CACHE_AGE_MS)
    }

    /// How many connections the limits on sockets and memory allow.
    pub fn connections(&self) -> Connections {
        let limits = &self.params.limits;
        let by_memory = limits.memory_mb * 1e6 * CONNECTIONS_MEMORY_PART / CONNECTION_BYTES;
        let backlog = f64::from(limits.max_connections) * BACKLOG_PART;
        let all = (f64::from(limits.max_connections) - backlog).min(by_memory);
        let part = |part: f64| ((all * part) as usize).max(1);
        let (kept_idle, in_flight) = (part(KEPT_IDLE_PART), part(IN_FLIGHT_PART));
        let outgoing = (kept_idle + in_flight) as u32 + FIXED_CONNECTIONS.min(all as u32 / 4);
        Connections {
            served: (all as u32).saturating_sub(outgoing).max(1),
            kept_idle,
            in_flight,
            backlog: backlog as u32,
        }
    }

    /// KiB of submissions that may be in hand at once.
    pub fn bodies_kib(&self) -> usize {
        (self.params.limits.memory_mb * 1e6 * BODIES_MEMORY_PART / 1024.0) as usize
    }

    /// Events that may wait for the controller: each connection has one report in
    /// flight, and all workers report at once after an outage.
    pub fn event_queue(&self) -> usize {
        self.params.limits.max_connections as usize + SPARE_EVENTS
    }

    /// What is odd but no reason not to start.
    pub fn warnings(&self) -> Vec<String> {
        let workers = &self.params.workers;
        let least = workers.lease_s * DRIFT + SETTLE_S + LEAST_WATCH_CACHE_AGE_MS as f64 / 1000.0;
        if workers.cancel_s >= least {
            return Vec::new();
        }
        vec![format!(
            "setting `params.workers.cancel_s`: tasks of a cancelled job may outlast {} s where the state service \
             fails meanwhile; with leases of {} s it takes {least:.1} s",
            workers.cancel_s, workers.lease_s
        )]
    }

    fn validate(&self) -> Result<(), SettingsError> {
        let invalid = |field: &str, reason: &str| {
            Err(SettingsError::Invalid {
                field: field.into(),
                reason: reason.into(),
            })
        };
        if self.node.is_empty() {
            return invalid("node", "must not be empty");
        }
        let params = &self.params;
        let positive = [
            ("params.workers.report_s", params.workers.report_s),
            ("params.workers.lease_s", params.workers.lease_s),
            ("params.workers.cancel_s", params.workers.cancel_s),
            ("params.state.rps", params.state.rps),
            ("params.state.write_rps", params.state.write_rps),
            ("params.state.value_kb", params.state.value_kb),
            ("params.cloud.rps", params.cloud.rps),
            ("params.quota.cores", params.limits.cpu_share),
            ("params.quota.memory_mb", params.limits.memory_mb),
        ];
        for (field, value) in positive {
            if !(value.is_finite() && value > 0.0) {
                return invalid(field, "must be a positive number");
            }
        }
        let not_negative = [
            ("params.cloud.list_lag_s", params.cloud.list_lag_s),
            ("params.time_bound_ms", params.clock_off_ms),
        ];
        for (field, value) in not_negative {
            if !(value.is_finite() && value >= 0.0) {
                return invalid(field, "must not be negative");
            }
        }
        if params.state.txn_ops < 8 {
            return invalid("params.state.txn_ops", "must be at least 8");
        }
        if params.limits.max_connections < LEAST_CONNECTIONS {
            let reason = format!("must be at least {LEAST_CONNECTIONS}");
            return invalid("params.quota.max_connections", &reason);
        }
        if params.limits.memory_mb < LEAST_MEMORY_MB {
            let reason = format!("must be at least {LEAST_MEMORY_MB}");
            return invalid("params.quota.memory_mb", &reason);
        }
        if params.zones.is_empty() {
            return invalid("params.zones", "must name at least one zone");
        }
        if params.teams.is_empty() {
            return invalid("params.teams", "must name at least one team");
        }
        let mut seen = HashSet::new();
        for team in &params.teams {
            let field = format!("params.teams.{}", team.name);
            if !seen.insert(team.name.as_str()) {
                return invalid(&field, "is given twice");
            }
            for value in [team.cpus, team.cpus_max, team.gpus, team.gpus_max] {
                if !(value.is_finite() && value >= 0.0) {
                    return invalid(&field, "amounts must not be negative");
                }
            }
        }
        let mut nodes = HashSet::from([self.node.as_str()]);
        for peer in &self.peers {
            if !nodes.insert(peer.node.as_str()) {
                return invalid("seeds", &format!("`{}` is named twice", peer.node));
            }
        }
        Ok(())
    }
}

#[cfg(test)]
pub mod tests;

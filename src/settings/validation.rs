//! Validates the values of the settings.

use super::{Limits, Params, Peer, Settings, Team};
use std::collections::HashSet;
use thiserror::Error;

/// Minimum number of operations that the state service must allow in one transaction.
const MIN_TRANSACTION_OPERATIONS: u32 = 8;
/// With less memory, a controller cannot serve a fleet of any size: the program takes about
/// 10 MB after its first messages (docs/operations.md).
const MIN_MEMORY_MB: f64 = 24.0;
/// With fewer connections, a controller cannot serve a fleet of any size.
const MIN_CONNECTIONS: u32 = 64;

/// A field whose value is not accepted.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("setting `{field}`: {problem}")]
pub struct InvalidSetting {
    /// Full name of the field, including the tables that contain it.
    pub field: String,
    /// What is wrong with the value.
    pub problem: Problem,
}

/// Why the value of a field is not accepted.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum Problem {
    /// The name is empty.
    #[error("must not be empty")]
    Empty,
    /// The number is zero, negative or not finite.
    #[error("must be a positive number, but is {value}")]
    NotPositive {
        /// The value in the settings file.
        value: f64,
    },
    /// The number is negative or not finite.
    #[error("must not be negative, but is {value}")]
    Negative {
        /// The value in the settings file.
        value: f64,
    },
    /// A resource amount of a team is negative or not finite.
    #[error("amounts must not be negative, but `{amount}` is {value}")]
    NegativeAmount {
        /// Name of the amount, as in the settings file.
        amount: &'static str,
        /// The value in the settings file.
        value: f64,
    },
    /// The number is below the minimum.
    #[error("must be at least {minimum}, but is {value}")]
    TooSmall {
        /// The smallest accepted value.
        minimum: f64,
        /// The value in the settings file.
        value: f64,
    },
    /// The list is empty.
    #[error("must name at least one {item}")]
    EmptyList {
        /// What the list contains, in the singular.
        item: &'static str,
    },
    /// Two teams have the same name.
    #[error("is given twice")]
    DuplicateTeam,
    /// Two controllers have the same name.
    #[error("`{node}` is named twice")]
    DuplicateNode {
        /// The name of the controller.
        node: String,
    },
}

type ValidationResult = Result<(), InvalidSetting>;

impl Settings {
    /// Validates every value and returns the first problem found.
    pub(super) fn validate(&self) -> ValidationResult {
        let params = &self.params;
        if self.node.is_empty() {
            return reject("node", Problem::Empty);
        }
        check_positive(params)?;
        check_not_negative(params)?;
        check_minimums(params.state.txn_ops, &params.limits)?;
        check_not_empty(&params.zones, "params.zones", "zone")?;
        check_not_empty(&params.teams, "params.teams", "team")?;
        check_teams(&params.teams)?;
        check_peers(&self.node, &self.peers)
    }
}

fn check_positive(params: &Params) -> ValidationResult {
    let values = [
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
    for (field, value) in values {
        if !(value.is_finite() && value > 0.0) {
            return reject(field, Problem::NotPositive { value });
        }
    }
    Ok(())
}

fn check_not_negative(params: &Params) -> ValidationResult {
    let values = [
        ("params.cloud.list_lag_s", params.cloud.list_lag_s),
        ("params.time_bound_ms", params.max_clock_skew_ms),
    ];
    for (field, value) in values {
        if !is_non_negative(value) {
            return reject(field, Problem::Negative { value });
        }
    }
    Ok(())
}

fn check_minimums(transaction_operations: u32, limits: &Limits) -> ValidationResult {
    let values = [
        (
            "params.state.txn_ops",
            f64::from(transaction_operations),
            f64::from(MIN_TRANSACTION_OPERATIONS),
        ),
        (
            "params.quota.max_connections",
            f64::from(limits.max_connections),
            f64::from(MIN_CONNECTIONS),
        ),
        ("params.quota.memory_mb", limits.memory_mb, MIN_MEMORY_MB),
    ];
    for (field, value, minimum) in values {
        if value < minimum {
            return reject(field, Problem::TooSmall { minimum, value });
        }
    }
    Ok(())
}

fn check_teams(teams: &[Team]) -> ValidationResult {
    let mut names = HashSet::new();
    for team in teams {
        let field = format!("params.teams.{}", team.name);
        if !names.insert(team.name.as_str()) {
            return reject(&field, Problem::DuplicateTeam);
        }
        let amounts = [
            ("cpus", team.cpus),
            ("cpus_max", team.cpus_max),
            ("gpus", team.gpus),
            ("gpus_max", team.gpus_max),
        ];
        for (amount, value) in amounts {
            if !is_non_negative(value) {
                return reject(&field, Problem::NegativeAmount { amount, value });
            }
        }
    }
    Ok(())
}

fn check_peers(own_name: &str, peers: &[Peer]) -> ValidationResult {
    let mut names = HashSet::from([own_name]);
    for peer in peers {
        if !names.insert(peer.node.as_str()) {
            let node = peer.node.clone();
            return reject("seeds", Problem::DuplicateNode { node });
        }
    }
    Ok(())
}

fn check_not_empty<T>(list: &[T], field: &str, item: &'static str) -> ValidationResult {
    if list.is_empty() {
        return reject(field, Problem::EmptyList { item });
    }
    Ok(())
}

fn reject(field: &str, problem: Problem) -> ValidationResult {
    Err(InvalidSetting {
        field: field.into(),
        problem,
    })
}

/// Whether a value is finite and at least 0.
fn is_non_negative(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

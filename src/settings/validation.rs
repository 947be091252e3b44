//! Refuses settings that no controller can work with, by name.

use super::{Limits, Params, Peer, Settings, Team};
use std::collections::HashSet;
use thiserror::Error;

/// Fewest operations that one transaction of the state service must allow.
const MIN_TRANSACTION_OPERATIONS: u32 = 8;
/// Below these a controller can't serve a fleet of any size: the program with its
/// first messages takes some 10 MB (docs/operations.md).
const MIN_MEMORY_MB: f64 = 24.0;
const MIN_CONNECTIONS: u32 = 64;

/// A field whose value is refused.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("setting `{field}`: {problem}")]
pub struct InvalidSetting {
    /// Name of the field, with the tables that it is in.
    pub field: String,
    /// What is wrong with it.
    pub problem: Problem,
}

/// Why the value of a field is refused.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum Problem {
    /// An empty name.
    #[error("must not be empty")]
    Empty,
    /// A number that is zero, negative or not finite.
    #[error("must be a positive number, but is {value}")]
    NotPositive {
        /// The number given.
        value: f64,
    },
    /// A number that is negative or not finite.
    #[error("must not be negative, but is {value}")]
    Negative {
        /// The number given.
        value: f64,
    },
    /// An amount of a team that is negative or not finite.
    #[error("amounts must not be negative, but `{amount}` is {value}")]
    NegativeAmount {
        /// Which amount.
        amount: &'static str,
        /// The number given.
        value: f64,
    },
    /// A number that is too small to work with.
    #[error("must be at least {minimum}, but is {value}")]
    TooSmall {
        /// The smallest number that is accepted.
        minimum: f64,
        /// The number given.
        value: f64,
    },
    /// A list that must not be empty.
    #[error("must name at least one {item}")]
    EmptyList {
        /// What the list is of.
        item: &'static str,
    },
    /// A team that is given a second time.
    #[error("is given twice")]
    DuplicateTeam,
    /// A controller whose name is given a second time.
    #[error("`{node}` is named twice")]
    DuplicateNode {
        /// The name of the controller.
        node: String,
    },
}

type Validity = Result<(), InvalidSetting>;

impl Settings {
    /// Checks every value; the first that is refused is named.
    pub(super) fn validate(&self) -> Validity {
        let params = &self.params;
        if self.node.is_empty() {
            return refuse("node", Problem::Empty);
        }
        check_positive(params)?;
        check_not_negative(params)?;
        check_minimums(params.state.txn_ops, &params.limits)?;
        require_some(&params.zones, "params.zones", "zone")?;
        require_some(&params.teams, "params.teams", "team")?;
        check_teams(&params.teams)?;
        check_peers(&self.node, &self.peers)
    }
}

fn check_positive(params: &Params) -> Validity {
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
            return refuse(field, Problem::NotPositive { value });
        }
    }
    Ok(())
}

fn check_not_negative(params: &Params) -> Validity {
    let values = [
        ("params.cloud.list_lag_s", params.cloud.list_lag_s),
        ("params.time_bound_ms", params.max_clock_skew_ms),
    ];
    for (field, value) in values {
        if !is_amount(value) {
            return refuse(field, Problem::Negative { value });
        }
    }
    Ok(())
}

fn check_minimums(transaction_operations: u32, limits: &Limits) -> Validity {
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
            return refuse(field, Problem::TooSmall { minimum, value });
        }
    }
    Ok(())
}

fn check_teams(teams: &[Team]) -> Validity {
    let mut names = HashSet::new();
    for team in teams {
        let field = format!("params.teams.{}", team.name);
        if !names.insert(team.name.as_str()) {
            return refuse(&field, Problem::DuplicateTeam);
        }
        let amounts = [
            ("cpus", team.cpus),
            ("cpus_max", team.cpus_max),
            ("gpus", team.gpus),
            ("gpus_max", team.gpus_max),
        ];
        for (amount, value) in amounts {
            if !is_amount(value) {
                return refuse(&field, Problem::NegativeAmount { amount, value });
            }
        }
    }
    Ok(())
}

fn check_peers(own_name: &str, peers: &[Peer]) -> Validity {
    let mut names = HashSet::from([own_name]);
    for peer in peers {
        if !names.insert(peer.node.as_str()) {
            let node = peer.node.clone();
            return refuse("seeds", Problem::DuplicateNode { node });
        }
    }
    Ok(())
}

fn require_some<T>(list: &[T], field: &str, item: &'static str) -> Validity {
    if list.is_empty() {
        return refuse(field, Problem::EmptyList { item });
    }
    Ok(())
}

fn refuse(field: &str, problem: Problem) -> Validity {
    Err(InvalidSetting {
        field: field.into(),
        problem,
    })
}

fn is_amount(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

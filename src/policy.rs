//! Scheduling policy: a Lua script by which operators set tuning values. The script returns a
//! table. Every value has a default and is checked against its range.

use mlua::{Lua, LuaOptions, StdLib, Table, Value};
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The reason why a policy script is rejected.
#[derive(Debug, Error)]
pub enum PolicyError {
    /// The script can't be read.
    #[error("cannot read the policy script {}: {source}", path.display())]
    Read {
        /// Path of the script.
        path: PathBuf,
        /// The underlying I/O error.
        source: io::Error,
    },
    /// The script is not valid Lua or raised an error.
    #[error("the policy script failed: {0}")]
    Script(#[from] mlua::Error),
    /// The script returned a value that is not a table.
    #[error("the policy script must return a table")]
    NotATable,
    /// The table has a key that is not the name of a policy value.
    #[error("policy value `{0}` is unknown")]
    Unknown(String),
    /// A policy value is not a number.
    #[error("policy value `{0}` must be a number")]
    NotANumber(String),
    /// A policy value is outside its accepted range.
    #[error("policy value `{name}` is {value}, outside {low} to {high}")]
    OutOfRange {
        /// Name of the policy value.
        name: String,
        /// The number that the script returned for it.
        value: f64,
        /// The smallest accepted number.
        low: f64,
        /// The largest accepted number.
        high: f64,
    },
}

/// Declares [`Policy`] from one line per value with its default and range, so that a new
/// value can't be missing from one of the places that list all values.
macro_rules! policy {
    ($($(#[doc = $doc:literal])* $name:ident: $default:literal in $low:literal..=$high:literal;)*) => {
        /// The tuning values that operators may set.
        #[derive(Clone, Debug, PartialEq)]
        pub struct Policy {
            $($(#[doc = $doc])* pub $name: f64,)*
        }

        impl Default for Policy {
            fn default() -> Self {
                Policy { $($name: $default,)* }
            }
        }

        impl Policy {
            /// Returns the names and values in the order of their declaration.
            pub fn entries(&self) -> Vec<(&'static str, f64)> {
                vec![$((stringify!($name), self.$name),)*]
            }

            /// Sets the value with this name. Fails if the name is unknown or the value is
            /// out of range.
            fn set(&mut self, name: &str, value: f64) -> Result<(), PolicyError> {
                let (field, low, high) = match name {
                    $(stringify!($name) => (&mut self.$name, $low, $high),)*
                    _ => return Err(PolicyError::Unknown(name.into())),
                };
                if !(low..=high).contains(&value) {
                    return Err(PolicyError::OutOfRange { name: name.into(), value, low, high });
                }
                *field = value;
                Ok(())
            }
        }
    };
}

policy! {
    /// Longest time in seconds that a task waits for a full machine that has its image cached,
    /// although another machine has room.
    locality_wait_s: 1.5 in 0.0..=60.0;
    /// Seconds that a job waits for capacity before tasks of lower priority are preempted.
    preempt_wait_s: 0.5 in 0.0..=3600.0;
    /// Longest run time in seconds that a task may lose by being preempted.
    preempt_lost_s: 15.0 in 0.0..=3600.0;
    /// Seconds that a spot machine may stay idle before it is decommissioned. On-demand
    /// machines are decommissioned sooner.
    idle_return_s: 40.0 in 0.0..=3600.0;
    /// Capacity kept in addition to the mean demand of the forecast, as a share of it.
    headroom: 0.25 in 0.0..=4.0;
    /// Report intervals without a report after which a machine counts as unresponsive.
    silent_reports: 4.0 in 2.0..=20.0;
    /// Period in seconds over which the forecast takes demand into account.
    forecast_s: 90.0 in 5.0..=3600.0;
    /// The most machines at the same time, whatever the forecast.
    max_machines: 20000.0 in 1.0..=100000.0;
}

impl Policy {
    /// Loads the policy script at `path`, or returns the defaults if there is none.
    pub fn load(path: Option<&Path>) -> Result<Policy, PolicyError> {
        let Some(path) = path else {
            return Ok(Policy::default());
        };
        let script = std::fs::read_to_string(path).map_err(|source| PolicyError::Read {
            path: path.to_owned(),
            source,
        })?;
        Policy::parse(&script)
    }

    /// Runs a policy script and returns the policy with the values that it sets.
    pub fn parse(script: &str) -> Result<Policy, PolicyError> {
        // Provides only arithmetic, tables and strings, since a policy must not access files
        // or processes.
        let libraries = StdLib::MATH | StdLib::TABLE | StdLib::STRING;
        let lua = Lua::new_with(libraries, LuaOptions::default())?;
        match lua.load(script).set_name("policy").eval()? {
            Value::Table(table) => Policy::from_table(&table),
            _ => Err(PolicyError::NotATable),
        }
    }

    fn from_table(table: &Table) -> Result<Policy, PolicyError> {
        let mut policy = Policy::default();
        for pair in table.pairs::<Value, Value>() {
            let (name, value) = pair?;
            let name = name.to_string().unwrap_or_else(|_| "?".into());
            let number = match value {
                Value::Integer(number) => number as f64,
                Value::Number(number) => number,
                _ => return Err(PolicyError::NotANumber(name)),
            };
            policy.set(&name, number)?;
        }
        Ok(policy)
    }
}

#[cfg(test)]
mod tests;

//! The operators' own settings: a Lua script that returns a table of tuning
//! values. Everything has a default, and every value is checked.

use mlua::{Lua, LuaOptions, StdLib, Table, Value};
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a policy script is refused.
#[derive(Debug, Error)]
pub enum PolicyError {
    /// The script can't be read.
    #[error("cannot read the policy script {}: {source}", path.display())]
    Read {
        /// Path of the script.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// The script is not Lua, or an error was raised in it.
    #[error("the policy script failed: {0}")]
    Script(#[from] mlua::Error),
    /// The script returned something else.
    #[error("the policy script must return a table")]
    NotATable,
    /// The table holds a name that is no policy value.
    #[error("policy value `{0}` is unknown")]
    Unknown(String),
    /// A policy value is of another type.
    #[error("policy value `{0}` must be a number")]
    NotANumber(String),
    /// A policy value is not in the range that makes sense for it.
    #[error("policy value `{name}` is {value}, outside {low} to {high}")]
    OutOfRange {
        /// Name of the policy value.
        name: String,
        /// The number given.
        value: f64,
        /// The smallest number that is accepted.
        low: f64,
        /// The largest number that is accepted.
        high: f64,
    },
}

/// Declares [`Policy`] from one line for each value, with its default and range, so
/// that a new value can't be forgotten in one of the places that list them all.
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
            /// The name and the value of each, in the order of their declaration.
            pub fn entries(&self) -> Vec<(&'static str, f64)> {
                vec![$((stringify!($name), self.$name),)*]
            }

            /// Sets the value of this name, if it is in its range.
            fn set(&mut self, name: &str, value: f64) -> Result<(), PolicyError> {
                let (slot, low, high) = match name {
                    $(stringify!($name) => (&mut self.$name, $low, $high),)*
                    _ => return Err(PolicyError::Unknown(name.into())),
                };
                if !(low..=high).contains(&value) {
                    return Err(PolicyError::OutOfRange { name: name.into(), value, low, high });
                }
                *slot = value;
                Ok(())
            }
        }
    };
}

policy! {
    /// Longest wait of a released task for the machine that holds its image.
    locality_wait_s: 1.5 in 0.0..=60.0;
    /// How long a task waits for room before tasks of lower priority are stopped.
    preempt_wait_s: 0.5 in 0.0..=3600.0;
    /// Longest run of a task that may be lost by stopping it for another.
    preempt_lost_s: 15.0 in 0.0..=3600.0;
    /// How long a machine stays unused before it is returned.
    idle_return_s: 40.0 in 0.0..=3600.0;
    /// Machines kept beyond the forecast, as a share of it.
    headroom: 0.25 in 0.0..=4.0;
    /// Silence after which a machine is given up, in report intervals.
    silent_reports: 4.0 in 2.0..=20.0;
    /// Longest period over which demand is remembered for the forecast.
    forecast_s: 90.0 in 5.0..=3600.0;
    /// Most machines kept at once, whatever the forecast says.
    max_machines: 20000.0 in 1.0..=100000.0;
}

impl Policy {
    /// Runs a policy script; without one, everything has its default.
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

    /// Runs the text of a policy script.
    pub fn parse(script: &str) -> Result<Policy, PolicyError> {
        // Only arithmetic, tables and strings: a policy has no business with
        // files or processes.
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

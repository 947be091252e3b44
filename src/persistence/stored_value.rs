//! Parsing of values that a former leader stored.

use crate::wire::Entry;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Error for a stored value that cannot be parsed as the type that belongs to its key.
#[derive(Debug, Error)]
#[error("the value of `{key}` can't be read: {source}")]
pub struct StoredValueError {
    key: String,
    source: serde_json::Error,
}

/// Parses the value of an entry as the type that belongs to its key.
pub fn read_value<T: DeserializeOwned>(entry: &Entry) -> Result<T, StoredValueError> {
    T::deserialize(&entry.value).map_err(|source| StoredValueError {
        key: entry.key.clone(),
        source,
    })
}

#[cfg(test)]
mod tests;

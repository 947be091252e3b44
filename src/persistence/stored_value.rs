//! Reading the values that a former leader wrote.

use crate::wire::Entry;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// A value of the state service that is not of the form its key calls for.
#[derive(Debug, Error)]
#[error("the value of `{key}` can't be read: {source}")]
pub struct StoredValueError {
    key: String,
    source: serde_json::Error,
}

/// The value of a key, in the form that keys of its kind have.
pub fn read_value<T: DeserializeOwned>(entry: &Entry) -> Result<T, StoredValueError> {
    T::deserialize(&entry.value).map_err(|source| StoredValueError {
        key: entry.key.clone(),
        source,
    })
}

#[cfg(test)]
mod tests;

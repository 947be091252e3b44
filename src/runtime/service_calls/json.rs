//! JSON bodies.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// A body that holds a value of ours, all of which can be put into JSON.
pub fn encode(value: &impl Serialize) -> Bytes {
    serde_json::to_vec(value).unwrap_or_default().into()
}

/// The value in a body of another program's, if it is what it should be.
pub fn decode<T: DeserializeOwned>(body: &Bytes) -> Option<T> {
    serde_json::from_slice(body)
        .inspect_err(|error| tracing::error!(%error, "failed to decode a response"))
        .ok()
}

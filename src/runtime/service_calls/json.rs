//! Encoding and decoding of JSON bodies.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Encodes a value. All types that are passed here can be represented in JSON.
pub fn encode(value: &impl Serialize) -> Bytes {
    serde_json::to_vec(value).unwrap_or_default().into()
}

/// Decodes the body of a response. Logs an error and returns `None` if the body is not valid
/// JSON or does not have the expected form.
pub fn decode<T: DeserializeOwned>(body: &Bytes) -> Option<T> {
    serde_json::from_slice(body)
        .inspect_err(|error| tracing::error!(%error, "failed to decode a response"))
        .ok()
}

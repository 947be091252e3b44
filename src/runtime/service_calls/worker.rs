//! Encodes commands to workers and interprets their responses.

use super::{CallResult, json};
use crate::controller::WorkerReply;
use crate::runtime::http_client::{HttpRequest, RequestError};
use crate::wire::DirectCommands;
use hyper::Method;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_millis(2_500);

/// Encodes commands as an HTTP request.
pub fn http_request(commands: &DirectCommands) -> HttpRequest {
    HttpRequest {
        method: Method::POST,
        path: "/do".into(),
        body: json::encode(commands),
        timeout: TIMEOUT,
    }
}

/// Interprets the outcome of sending commands.
pub fn reply(result: CallResult) -> WorkerReply {
    let response = match result {
        Ok(response) => response,
        Err(RequestError::NotSent) => return WorkerReply::NotDelivered,
        Err(RequestError::OutcomeUnknown | RequestError::ResponseTooLong) => return WorkerReply::Unanswered,
    };
    match response.status {
        200 => json::decode(&response.body).map_or(WorkerReply::Unanswered, WorkerReply::Executed),
        // A worker that refuses commands has executed none of them, even if its answer
        // cannot be decoded.
        409 => json::decode(&response.body).map_or(WorkerReply::NotDelivered, WorkerReply::Refused),
        400 => WorkerReply::NotDelivered,
        _ => WorkerReply::Unanswered,
    }
}

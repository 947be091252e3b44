//! Commands to workers, and what their responses mean.

use super::{CallResult, json};
use crate::controller::WorkerReply;
use crate::runtime::http_client::{HttpRequest, RequestError};
use crate::wire::DirectCommands;
use hyper::Method;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_millis(2_500);

/// The HTTP request that carries commands.
pub fn http_request(commands: &DirectCommands) -> HttpRequest {
    HttpRequest {
        method: Method::POST,
        path: "/do".into(),
        body: json::encode(commands),
        timeout: TIMEOUT,
    }
}

/// What came of the commands.
pub fn reply(result: CallResult) -> WorkerReply {
    let response = match result {
        Ok(response) => response,
        Err(RequestError::NotSent) => return WorkerReply::NotDelivered,
        Err(RequestError::OutcomeUnknown) => return WorkerReply::Unanswered,
    };
    match response.status {
        200 => json::decode(&response.body).map_or(WorkerReply::Unanswered, WorkerReply::Executed),
        // A worker that refuses them has carried out none, whatever else it says.
        409 => json::decode(&response.body).map_or(WorkerReply::NotDelivered, WorkerReply::Refused),
        400 => WorkerReply::NotDelivered,
        _ => WorkerReply::Unanswered,
    }
}

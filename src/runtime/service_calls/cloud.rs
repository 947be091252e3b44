//! Encodes requests to the cloud and interprets its responses.

use super::{CallResult, json};
use crate::controller::{CloudReply, CloudRequest};
use crate::runtime::http_client::{HttpRequest, HttpResponse, RequestError};
use bytes::Bytes;
use hyper::Method;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(6);
/// Maximum number of machines in one page of the machine list.
const PAGE_LIMIT: u32 = 500;
/// Error text of a response that says that the cloud has no machine of the requested kind.
const NO_CAPACITY: &str = "no capacity";

/// Encodes a request as an HTTP request.
pub fn http_request(request: &CloudRequest) -> HttpRequest {
    let (method, path, body) = match request {
        CloudRequest::Catalogue => (Method::GET, "/catalog".into(), Bytes::new()),
        CloudRequest::RequestMachines(machine_request) => {
            (Method::POST, "/machines".into(), json::encode(machine_request))
        }
        CloudRequest::Delete(names) => (Method::POST, "/machines/delete".into(), json::encode(names)),
        CloudRequest::List { after } => {
            let path = format!("/machines?since={after}&limit={PAGE_LIMIT}");
            (Method::GET, path, Bytes::new())
        }
    };
    HttpRequest {
        method,
        path,
        body,
        timeout: TIMEOUT,
    }
}

/// Interprets the outcome of a request.
pub fn reply(request: &CloudRequest, result: CallResult) -> CloudReply {
    match result {
        // After an unexpected response, the request may or may not have been executed.
        Ok(response) => expected_reply(request, &response).unwrap_or(CloudReply::Unanswered),
        Err(RequestError::NotSent) => CloudReply::Unavailable,
        Err(RequestError::OutcomeUnknown | RequestError::ResponseTooLong) => CloudReply::Unanswered,
    }
}

/// Returns the reply for a response that this kind of request may have, `None` for any other.
fn expected_reply(request: &CloudRequest, response: &HttpResponse) -> Option<CloudReply> {
    let body = &response.body;
    match (request, response.status) {
        (CloudRequest::Catalogue, 200) => json::decode(body).map(CloudReply::Catalogue),
        (CloudRequest::RequestMachines(_), 200) => json::decode(body).map(CloudReply::Provisioned),
        (CloudRequest::RequestMachines(_), 503) if has_no_capacity(body) => Some(CloudReply::NoCapacity),
        (CloudRequest::RequestMachines(_), 400) => Some(CloudReply::Malformed),
        (CloudRequest::Delete(_), 200) => Some(CloudReply::Deleted),
        (CloudRequest::List { .. }, 200) => json::decode(body).map(CloudReply::Listed),
        (_, 429 | 503) => Some(CloudReply::Unavailable),
        _ => None,
    }
}

/// Whether a response with status 503 means that the cloud has no capacity for the requested
/// machines. During an outage, responses have the same status but another error text.
fn has_no_capacity(body: &Bytes) -> bool {
    let value: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    value.is_some_and(|value| value.get("error").and_then(|error| error.as_str()) == Some(NO_CAPACITY))
}

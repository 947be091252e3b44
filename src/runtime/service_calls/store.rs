//! Encodes requests to the state service and interprets its responses.

use super::{CallResult, json};
use crate::runtime::http_client::{HttpRequest, HttpResponse, RequestError};
use crate::store::{StoreReply, StoreRequest};
use crate::wire::{Entry, ErrorAnswer, LeaseAnswer, LeaseRequest, TransactionAnswer};
use bytes::Bytes;
use hyper::Method;
use std::time::Duration;

/// How long to wait for a response. For a watch, the time for which the service may hold back
/// its response is added.
const TIMEOUT: Duration = Duration::from_millis(2_000);
/// The error text of a transaction with a put that is attached to an expired lease.
const NO_SUCH_LEASE: &str = "no such lease";
/// Maximum length of the service's explanation of a rejection, which is logged.
const MAX_REASON_BYTES: usize = 200;
/// Maximum number of entries in one page of a list.
const PAGE_LIMIT: u32 = 400;

/// Encodes a request as an HTTP request.
pub fn http_request(request: &StoreRequest) -> HttpRequest {
    let (method, path, body) = match request {
        StoreRequest::Get(key) => (Method::GET, format!("/store/{key}"), Bytes::new()),
        StoreRequest::List { prefix, after } => (Method::GET, list_path(prefix, after), Bytes::new()),
        StoreRequest::Transact(transaction) => (Method::POST, "/multi".into(), json::encode(transaction)),
        StoreRequest::Grant { ttl_ms } => {
            let body = json::encode(&LeaseRequest { ttl_ms: *ttl_ms });
            (Method::POST, "/leases".into(), body)
        }
        StoreRequest::Renew(lease) => (Method::POST, format!("/leases/{lease}/extend"), Bytes::new()),
        StoreRequest::Watch { prefix, since, wait_ms } => {
            let path = format!("/changes?starts={prefix}&since={since}&holdMs={wait_ms}");
            (Method::GET, path, Bytes::new())
        }
    };
    HttpRequest {
        method,
        path,
        body,
        timeout: timeout(request),
    }
}

fn list_path(prefix: &str, after: &str) -> String {
    let since = if after.is_empty() {
        String::new()
    } else {
        format!("&since={after}")
    };
    format!("/store?starts={prefix}{since}&limit={PAGE_LIMIT}")
}

fn timeout(request: &StoreRequest) -> Duration {
    match request {
        StoreRequest::Watch { wait_ms, .. } => TIMEOUT + Duration::from_millis(*wait_ms),
        _ => TIMEOUT,
    }
}

/// Interprets the outcome of a request.
pub fn reply(request: &StoreRequest, result: CallResult) -> StoreReply {
    let response = match result {
        Ok(response) => response,
        Err(RequestError::NotSent) => return StoreReply::Unavailable,
        // A watch returns all changes at once, however many there are, but the keys can be read
        // again in pages.
        Err(RequestError::ResponseTooLong) if matches!(request, StoreRequest::Watch { .. }) => {
            return StoreReply::TooOld;
        }
        Err(RequestError::OutcomeUnknown | RequestError::ResponseTooLong) => return StoreReply::Unanswered,
    };
    let reply = match response.status {
        429 => Some(StoreReply::Throttled),
        503 => Some(StoreReply::Unavailable),
        _ => expected_reply(request, &response),
    };
    // After an unexpected response, the request may or may not have been executed.
    reply.unwrap_or_else(|| {
        tracing::warn!(
            status = response.status,
            body = %String::from_utf8_lossy(&response.body),
            "got an unexpected response from the state service"
        );
        StoreReply::Unanswered
    })
}

/// Returns the reply for a transaction that the service does not accept: a lease that one of its
/// puts names has expired, or the transaction itself is the reason.
fn rejection(body: &Bytes) -> StoreReply {
    let error = json::decode::<ErrorAnswer>(body).map(|answer| answer.error);
    match error {
        Some(error) if error == NO_SUCH_LEASE => StoreReply::LeaseExpired,
        error => {
            let mut reason = error.unwrap_or_else(|| String::from_utf8_lossy(body).into_owned());
            reason.truncate(reason.floor_char_boundary(MAX_REASON_BYTES));
            tracing::warn!(reason, "the state service rejected a transaction");
            StoreReply::Rejected { reason }
        }
    }
}

/// Returns the reply for a response that this kind of request may have, `None` for any other.
fn expected_reply(request: &StoreRequest, response: &HttpResponse) -> Option<StoreReply> {
    let body = &response.body;
    match (request, response.status) {
        (StoreRequest::Get(_), 200) => json::decode::<Entry>(body).map(|entry| StoreReply::Found {
            value: entry.value,
            version: entry.version,
        }),
        (StoreRequest::Get(_), 404) => Some(StoreReply::Missing),
        (StoreRequest::List { .. }, 200) => json::decode(body).map(StoreReply::Page),
        (StoreRequest::Transact(_), 200) => {
            json::decode::<TransactionAnswer>(body).map(|answer| StoreReply::Committed {
                revision: answer.revision,
            })
        }
        (StoreRequest::Transact(_), 409) => {
            json::decode::<TransactionAnswer>(body).map(|answer| StoreReply::Conflict { failed: answer.failed })
        }
        (StoreRequest::Transact(_), 400) => Some(rejection(body)),
        (StoreRequest::Grant { .. }, 200) => {
            json::decode::<LeaseAnswer>(body).map(|answer| StoreReply::Granted { lease: answer.lease })
        }
        (StoreRequest::Renew(_), 200) => Some(StoreReply::Renewed),
        (StoreRequest::Renew(_), 404) => Some(StoreReply::LeaseExpired),
        (StoreRequest::Watch { .. }, 200) => json::decode(body).map(StoreReply::WatchLog),
        (StoreRequest::Watch { .. }, 410) => Some(StoreReply::TooOld),
        _ => None,
    }
}

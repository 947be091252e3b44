//! What is sent, what comes back, and why nothing may come back.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, header};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// A request with a JSON body, or without a body.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// The HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// The body; empty where there is none.
    pub body: Bytes,
    /// How long to wait for the head of the response, and again for its body.
    pub timeout: Duration,
}

impl HttpRequest {
    /// The request as it is sent to an address; the body is shared with it.
    pub(super) fn to_message(&self, address: SocketAddr) -> Result<Request<Full<Bytes>>, RequestError> {
        Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .header(header::HOST, address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(self.body.clone()))
            .map_err(|_| RequestError::NotSent)
    }
}

/// A complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpResponse {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: Bytes,
}

impl HttpResponse {
    /// Whether the request was done.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// Why there is no response.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum RequestError {
    /// Surely not delivered, now or later.
    #[error("the request could not be sent")]
    NotSent,
    /// Perhaps executed, perhaps later.
    #[error("the request was sent, but no complete response came; it may have been executed")]
    OutcomeUnknown,
}

//! Requests, responses, and the errors of requests without a response.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, header};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// A request with a JSON body, or without a body.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// The HTTP method, such as GET or POST.
    pub method: Method,
    /// The path and query of the URL.
    pub path: String,
    /// The JSON body; empty if the request has none.
    pub body: Bytes,
    /// How long to wait for the head of the response, and again for its body.
    pub timeout: Duration,
}

impl HttpRequest {
    /// Builds the message to send to an address. It shares the body with this request.
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

/// A response that was received completely.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The whole body; its format depends on the service.
    pub body: Bytes,
}

impl HttpResponse {
    /// Whether the status says that the request succeeded (2xx).
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// Why a request got no complete response.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum RequestError {
    /// The request was not delivered and will not be delivered later.
    #[error("the request could not be sent")]
    NotSent,
    /// The request may have been executed, or may still be executed later.
    #[error("the request was sent, but no complete response arrived; it may have been executed")]
    OutcomeUnknown,
    /// The request was executed, but its response is longer than this client reads.
    #[error("the response is too long")]
    ResponseTooLong,
}

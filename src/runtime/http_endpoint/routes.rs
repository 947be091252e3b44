//! Routes of the HTTP interface.

use poem::http::Method;
use thiserror::Error;

/// The operation that a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route<'path> {
    /// `GET /healthz`: a health check.
    Health,
    /// `POST /checkin`: the report of a worker.
    Report,
    /// `POST /v1/jobs`: submits a job.
    SubmitJob,
    /// `GET /v1/jobs/{id}`: shows the state of a job.
    ShowJob(&'path str),
    /// `POST /v1/jobs/{id}/abort`: cancels a job.
    CancelJob(&'path str),
}

/// Why a request matches no route.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum RouteError {
    /// The path exists, but not with this method.
    #[error("method not allowed")]
    MethodNotAllowed,
    /// The path does not exist.
    #[error("no such path")]
    UnknownPath,
}

impl RouteError {
    /// Returns the HTTP status of the response.
    pub fn status(self) -> u16 {
        match self {
            RouteError::MethodNotAllowed => 405,
            RouteError::UnknownPath => 404,
        }
    }
}

impl Route<'_> {
    /// Returns the route of a request with this method and path.
    pub fn resolve<'path>(method: &Method, path: &'path str) -> Result<Route<'path>, RouteError> {
        let (allowed, route) = match path {
            "/healthz" => (Method::GET, Route::Health),
            "/checkin" => (Method::POST, Route::Report),
            "/v1/jobs" => (Method::POST, Route::SubmitJob),
            _ => job_route(path).ok_or(RouteError::UnknownPath)?,
        };
        if *method == allowed {
            Ok(route)
        } else {
            Err(RouteError::MethodNotAllowed)
        }
    }
}

/// Returns the route of `/v1/jobs/{id}` or of a path below it, with the method that it allows.
fn job_route(path: &str) -> Option<(Method, Route<'_>)> {
    let rest = path.strip_prefix("/v1/jobs/")?;
    match rest.split_once('/') {
        None => Some((Method::GET, Route::ShowJob(rest))),
        Some((id, "abort")) => Some((Method::POST, Route::CancelJob(id))),
        Some(_) => None,
    }
}

#[cfg(test)]
mod tests;

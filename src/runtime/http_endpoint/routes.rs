//! Which request goes where.

use poem::http::Method;
use thiserror::Error;

/// What a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route<'path> {
    /// `GET /healthz`.
    Health,
    /// `POST /checkin`: the report of a worker.
    Report,
    /// `POST /v1/jobs`.
    SubmitJob,
    /// `GET /v1/jobs/{id}`.
    ShowJob(&'path str),
    /// `POST /v1/jobs/{id}/abort`.
    CancelJob(&'path str),
}

/// Why a request goes nowhere.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum RouteError {
    /// The path is known, but not with this method.
    #[error("method not allowed")]
    MethodNotAllowed,
    /// The path is not known.
    #[error("no such path")]
    UnknownPath,
}

impl RouteError {
    /// The status of the response.
    pub fn status(self) -> u16 {
        match self {
            RouteError::MethodNotAllowed => 405,
            RouteError::UnknownPath => 404,
        }
    }
}

impl Route<'_> {
    /// Where a request with this method and path goes.
    pub fn of<'path>(method: &Method, path: &'path str) -> Result<Route<'path>, RouteError> {
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

/// The route of `/v1/jobs/{id}` and what may follow it, with its method.
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

//! The HTTP interface for users, workers and health checks.

mod routes;

use super::event::Event;
use crate::admission::{error_answer, service_unavailable};
use crate::peers::{Answer, UserRequest};
use poem::http::StatusCode;
use poem::{Endpoint, Request, Response};
use routes::Route;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::timeout;

const MAX_JOB_BYTES: usize = 64 * 1024;
/// A report lists every task on its machine and may therefore be longer than a job.
const MAX_REPORT_BYTES: usize = 1024 * 1024;
const BYTES_PER_KIB: usize = 1024;
/// Time limit for receiving a body. A body that takes longer only holds memory, because
/// users give up after 5 s and workers after 4 s.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// When fewer than one in this many connections are free, each connection is closed after
/// its response. Workers and users keep their connections open between requests; where few
/// controllers are left, the remaining workers would otherwise wait for a connection until
/// their leases expire.
const FREE_CONNECTIONS_DIVISOR: usize = 8;

/// Turns HTTP requests into events for the controller, and its answers into HTTP responses.
pub struct HttpEndpoint {
    urgent: mpsc::Sender<Event>,
    users: mpsc::Sender<Event>,
    max_connections: usize,
    /// One permit for each connection that may be opened in addition to the open ones.
    free_connections: Arc<Semaphore>,
    /// One permit for each KiB of submissions that may still be held in memory.
    free_submissions_kib: Semaphore,
}

impl Endpoint for HttpEndpoint {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let path = request.uri().path().to_owned();
        let answer = match Route::resolve(request.method(), &path) {
            Ok(Route::Health) => self.send_event(&self.urgent, |reply| Event::Health { reply }).await,
            Ok(Route::Report) => self.receive_report(&mut request).await,
            Ok(Route::SubmitJob) => self.submit_job(&mut request).await,
            Ok(Route::ShowJob(id)) => self.send_user_request(UserRequest::Show(id.into())).await,
            Ok(Route::CancelJob(id)) => self.send_user_request(UserRequest::Cancel(id.into())).await,
            Err(error) => error_answer(error.status(), &error.to_string()),
        };
        Ok(self.build_response(answer))
    }
}

impl HttpEndpoint {
    /// Creates an endpoint for at most `max_connections` open connections, which holds at
    /// most `max_submissions_kib` KiB of submissions in memory at once.
    pub fn new(
        urgent: mpsc::Sender<Event>,
        users: mpsc::Sender<Event>,
        max_connections: u32,
        max_submissions_kib: usize,
    ) -> HttpEndpoint {
        let max_connections = max_connections as usize;
        HttpEndpoint {
            urgent,
            users,
            max_connections,
            free_connections: Arc::new(Semaphore::new(max_connections)),
            free_submissions_kib: Semaphore::new(max_submissions_kib),
        }
    }

    /// Returns the permits for connections, one for each that may be opened in addition to
    /// the open ones.
    pub fn free_connections(&self) -> Arc<Semaphore> {
        self.free_connections.clone()
    }

    async fn receive_report(&self, request: &mut Request) -> Answer {
        let body = read_body(request, MAX_REPORT_BYTES).await;
        match body.and_then(|body| serde_json::from_slice(&body).ok()) {
            Some(report) => {
                self.send_event(&self.urgent, |reply| Event::Report { report, reply })
                    .await
            }
            None => error_answer(400, "not a report"),
        }
    }

    async fn submit_job(&self, request: &mut Request) -> Answer {
        let Some(body) = read_body(request, MAX_JOB_BYTES).await else {
            return error_answer(400, "the body is too long or broken");
        };
        let kib = body.len().div_ceil(BYTES_PER_KIB).max(1) as u32;
        let Ok(_permits) = self.free_submissions_kib.try_acquire_many(kib) else {
            return service_unavailable("too many requests at once");
        };
        match String::from_utf8(body) {
            Ok(body) => self.send_user_request(UserRequest::Submit(body)).await,
            Err(_) => error_answer(400, "not UTF-8"),
        }
    }

    async fn send_user_request(&self, user_request: UserRequest) -> Answer {
        self.send_event(&self.users, |reply| Event::UserRequest { user_request, reply })
            .await
    }

    /// Puts an event into a queue and waits for the controller's answer.
    async fn send_event(
        &self,
        queue: &mpsc::Sender<Event>,
        event: impl FnOnce(oneshot::Sender<Answer>) -> Event,
    ) -> Answer {
        let (reply, answer) = oneshot::channel();
        if queue.try_send(event(reply)).is_err() {
            return service_unavailable("too many requests at once");
        }
        answer
            .await
            .unwrap_or_else(|_| service_unavailable("the request was dropped"))
    }

    fn build_response(&self, answer: Answer) -> Response {
        let mut response = Response::builder()
            .status(StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR))
            .content_type("application/json");
        if let Some(seconds) = answer.retry_after_s {
            response = response.header("Retry-After", seconds.to_string());
        }
        if self.is_nearly_full() {
            response = response.header("Connection", "close");
        }
        response.body(answer.body)
    }

    fn is_nearly_full(&self) -> bool {
        let min_free = self.max_connections.div_ceil(FREE_CONNECTIONS_DIVISOR);
        self.free_connections.available_permits() < min_free
    }
}

/// Reads the whole body. Returns `None` if it is longer than `max_bytes`, malformed or not
/// received in time. A body whose `Content-Length` is too large or invalid is not read at all.
async fn read_body(request: &mut Request, max_bytes: usize) -> Option<Vec<u8>> {
    let length = request.header("Content-Length").map(str::parse::<usize>);
    if length.is_some_and(|length| length.map_or(true, |length| length > max_bytes)) {
        return None;
    }
    let body = request.take_body().into_bytes_limit(max_bytes);
    let bytes = timeout(BODY_TIMEOUT, body).await;
    Some(bytes.ok()?.ok()?.into())
}

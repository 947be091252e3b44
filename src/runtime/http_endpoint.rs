//! Endpoints for users, workers and health checks.

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
/// A report lists every task of its machine and may be longer than a job.
const MAX_REPORT_BYTES: usize = 1024 * 1024;
const BYTES_PER_KIB: usize = 1024;
/// A body that takes longer to arrive holds memory for nothing: users give up
/// after 5 s, workers after 4 s.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// With less than one in this many connections free, each is closed after its
/// answer. Workers and users keep theirs between requests, and where few
/// controllers are left the rest would wait for one until their leases are over.
const FREE_CONNECTIONS_DIVISOR: usize = 8;

/// Turns requests into events for the controller, and its answers into responses.
pub struct HttpEndpoint {
    urgent: mpsc::Sender<Event>,
    users: mpsc::Sender<Event>,
    max_connections: usize,
    free_connections: Arc<Semaphore>,
    /// One permit for each KiB of submissions that may be in hand.
    free_bodies_kib: Semaphore,
}

impl Endpoint for HttpEndpoint {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let path = request.uri().path().to_owned();
        let answer = match Route::of(request.method(), &path) {
            Ok(Route::Health) => self.send(&self.urgent, |reply| Event::Health { reply }).await,
            Ok(Route::Report) => self.report(&mut request).await,
            Ok(Route::SubmitJob) => self.submit(&mut request).await,
            Ok(Route::ShowJob(id)) => self.ask(UserRequest::Show(id.into())).await,
            Ok(Route::CancelJob(id)) => self.ask(UserRequest::Cancel(id.into())).await,
            Err(error) => error_answer(error.status(), &error.to_string()),
        };
        Ok(self.respond(answer))
    }
}

impl HttpEndpoint {
    /// Serves at most so many connections at once, with at most so many KiB of
    /// submissions in hand.
    pub fn new(
        urgent: mpsc::Sender<Event>,
        users: mpsc::Sender<Event>,
        max_connections: u32,
        max_bodies_kib: usize,
    ) -> HttpEndpoint {
        let max_connections = max_connections as usize;
        HttpEndpoint {
            urgent,
            users,
            max_connections,
            free_connections: Arc::new(Semaphore::new(max_connections)),
            free_bodies_kib: Semaphore::new(max_bodies_kib),
        }
    }

    /// One permit for each connection that may be served beside those that are.
    pub fn free_connections(&self) -> Arc<Semaphore> {
        self.free_connections.clone()
    }

    async fn report(&self, request: &mut Request) -> Answer {
        let body = read_body(request, MAX_REPORT_BYTES).await;
        match body.and_then(|body| serde_json::from_slice(&body).ok()) {
            Some(report) => self.send(&self.urgent, |reply| Event::Report { report, reply }).await,
            None => error_answer(400, "not a report"),
        }
    }

    async fn submit(&self, request: &mut Request) -> Answer {
        let Some(body) = read_body(request, MAX_JOB_BYTES).await else {
            return error_answer(400, "the body is too long or broken");
        };
        let kib = body.len().div_ceil(BYTES_PER_KIB).max(1) as u32;
        let Ok(_in_hand) = self.free_bodies_kib.try_acquire_many(kib) else {
            return service_unavailable("too many requests at once");
        };
        match String::from_utf8(body) {
            Ok(body) => self.ask(UserRequest::Submit(body)).await,
            Err(_) => error_answer(400, "not UTF-8"),
        }
    }

    async fn ask(&self, user_request: UserRequest) -> Answer {
        self.send(&self.users, |reply| Event::UserRequest { user_request, reply })
            .await
    }

    /// Puts an event into a queue and waits for the controller's answer.
    async fn send(&self, queue: &mpsc::Sender<Event>, event: impl FnOnce(oneshot::Sender<Answer>) -> Event) -> Answer {
        let (reply, answer) = oneshot::channel();
        if queue.try_send(event(reply)).is_err() {
            return service_unavailable("too many requests at once");
        }
        answer
            .await
            .unwrap_or_else(|_| service_unavailable("the request was dropped"))
    }

    fn respond(&self, answer: Answer) -> Response {
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
        let enough = self.max_connections.div_ceil(FREE_CONNECTIONS_DIVISOR);
        self.free_connections.available_permits() < enough
    }
}

/// The whole body, unless it is longer than `max_bytes`, broken or too slow. One that
/// says beforehand that it is too long is not read at all.
async fn read_body(request: &mut Request, max_bytes: usize) -> Option<Vec<u8>> {
    let length = request.header("Content-Length").map(str::parse::<usize>);
    if length.is_some_and(|length| length.map_or(true, |length| length > max_bytes)) {
        return None;
    }
    let body = request.take_body().into_bytes_limit(max_bytes);
    let bytes = timeout(BODY_TIMEOUT, body).await;
    Some(bytes.ok()?.ok()?.into())
}

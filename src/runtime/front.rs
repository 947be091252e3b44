//! Endpoints for users, workers and health checks.

use super::Event;
use crate::admission::{busy, text};
use crate::peers::{Answer, UserRequest};
use poem::http::{Method, StatusCode};
use poem::{Endpoint, Request, Response};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::timeout;

const MAX_BODY: usize = 64 * 1024;
/// A report lists every task of its machine and may be longer than a job.
const MAX_REPORT: usize = 1024 * 1024;
/// A body that takes longer to arrive holds memory for nothing: users give up
/// after 5 s, workers after 4 s.
const BODY_PATIENCE: Duration = Duration::from_secs(5);

/// With less than this part of the connections free, each is closed after its
/// answer. Workers and users keep theirs between requests, and where few
/// controllers are left the rest would wait for one until their leases are over.
const SHORT_PART: usize = 8;

/// Turns requests into events for the controller, and its answers into responses.
pub struct Front {
    urgent: mpsc::Sender<Event>,
    users: mpsc::Sender<Event>,
    most: usize,
    room: Arc<Semaphore>,
    /// One permit for each KiB of submissions that may be in hand.
    bodies_kib: Semaphore,
}

impl Endpoint for Front {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        let answer = match (method, path.as_str()) {
            (Method::GET, "/healthz") => self.send(&self.urgent, |reply| Event::Health { reply }).await,
            (Method::POST, "/checkin") => {
                let body = read(&mut request, MAX_REPORT).await;
                match body.and_then(|body| serde_json::from_slice(&body).ok()) {
                    Some(report) => self.send(&self.urgent, |reply| Event::Report { report, reply }).await,
                    None => text(400, "not a report"),
                }
            }
            (Method::POST, "/v1/jobs") => match read(&mut request, MAX_BODY).await {
                Some(body) => self.submit(body).await,
                None => text(400, "the body is too long or broken"),
            },
            (method, path) => match (method, job_path(path)) {
                (Method::GET, Some((id, None))) => self.ask(UserRequest::Show(id.into())).await,
                (Method::POST, Some((id, Some("abort")))) => self.ask(UserRequest::Cancel(id.into())).await,
                (_, Some((_, None | Some("abort")))) => text(405, "method not allowed"),
                _ if matches!(path, "/healthz" | "/checkin" | "/v1/jobs") => text(405, "method not allowed"),
                _ => text(404, "no such path"),
            },
        };
        let mut response = Response::builder()
            .status(StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR))
            .content_type("application/json");
        if let Some(seconds) = answer.retry_after_s {
            response = response.header("Retry-After", seconds.to_string());
        }
        if self.room.available_permits() < self.most.div_ceil(SHORT_PART) {
            response = response.header("Connection", "close");
        }
        Ok(response.body(answer.body))
    }
}

/// The whole body, unless it is longer than `most`, broken or too slow. One that says
/// beforehand that it is too long is not read at all.
async fn read(request: &mut Request, most: usize) -> Option<Vec<u8>> {
    let length = request.header("Content-Length").map(str::parse::<usize>);
    if length.is_some_and(|length| length.map_or(true, |length| length > most)) {
        return None;
    }
    let bytes = timeout(BODY_PATIENCE, request.take_body().into_bytes_limit(most)).await;
    Some(bytes.ok()?.ok()?.into())
}

/// `/v1/jobs/{id}` and what may follow it.
fn job_path(path: &str) -> Option<(&str, Option<&str>)> {
    let rest = path.strip_prefix("/v1/jobs/")?;
    Some(match rest.split_once('/') {
        Some((id, action)) => (id, Some(action)),
        None => (rest, None),
    })
}

impl Front {
    /// `most`: connections served at once. `bodies_kib`: submissions in hand.
    pub fn new(urgent: mpsc::Sender<Event>, users: mpsc::Sender<Event>, most: u32, bodies_kib: usize) -> Front {
        let most = most as usize;
        let room = Arc::new(Semaphore::new(most));
        Front {
            urgent,
            users,
            most,
            room,
            bodies_kib: Semaphore::new(bodies_kib),
        }
    }

    /// One permit for each connection that may be served.
    pub fn room(&self) -> Arc<Semaphore> {
        self.room.clone()
    }

    async fn submit(&self, body: Vec<u8>) -> Answer {
        let kib = body.len().div_ceil(1_024).max(1) as u32;
        let Ok(_in_hand) = self.bodies_kib.try_acquire_many(kib) else {
            return busy("too many requests at once");
        };
        match String::from_utf8(body) {
            Ok(body) => self.ask(UserRequest::Submit(body)).await,
            Err(_) => text(400, "not UTF-8"),
        }
    }

    async fn ask(&self, user_request: UserRequest) -> Answer {
        self.send(&self.users, |reply| Event::UserRequest { user_request, reply })
            .await
    }

    async fn send(&self, to: &mpsc::Sender<Event>, event: impl FnOnce(oneshot::Sender<Answer>) -> Event) -> Answer {
        let (reply, answer) = oneshot::channel();
        if to.try_send(event(reply)).is_err() {
            return busy("too many requests at once");
        }
        answer.await.unwrap_or_else(|_| busy("the request was dropped"))
    }
}

//! The controller's calls to the state service, the cloud and workers.

use super::Event;
use super::client::{Client, Failure};
use crate::controller::{CloudReply, CloudRequest, Input, WorkerReply};
use crate::settings::Settings;
use crate::store::{StoreReply, StoreRequest};
use crate::wire::{DirectCommands, Entry, LeaseAnswer, LeaseRequest, Revision};
use bytes::Bytes;
use hyper::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;

const STORE: Duration = Duration::from_millis(2_000);
const CLOUD: Duration = Duration::from_secs(6);
const WORKER: Duration = Duration::from_millis(2_500);

pub struct Calls {
    client: Client,
    state: SocketAddr,
    cloud: SocketAddr,
    events: mpsc::Sender<Event>,
    /// For the state service's answers, on which the lease depends.
    store_events: mpsc::Sender<Event>,
}

impl Calls {
    /// `kept_idle`: connections kept open between calls.
    pub fn new(
        settings: &Settings,
        kept_idle: usize,
        events: mpsc::Sender<Event>,
        store_events: mpsc::Sender<Event>,
    ) -> Calls {
        Calls {
            client: Client::new(kept_idle),
            state: settings.services.state,
            cloud: settings.services.cloud,
            events,
            store_events,
        }
    }

    fn run(&self, events: &mpsc::Sender<Event>, call: impl Future<Output = Input> + Send + 'static) {
        let events = events.clone();
        tokio::spawn(async move {
            let input = call.await;
            // The loop ends only with the process.
            let _ = events.send(Event::Input(input)).await;
        });
    }

    pub fn store(&self, call: u64, request: StoreRequest) {
        let (client, address) = (self.client.clone(), self.state);
        self.run(&self.store_events, async move {
            let (method, path, body, patience) = store_request(&request);
            let response = client.request(address, method, &path, body, patience).await;
            Input::Store {
                call,
                reply: store_reply(&request, response),
            }
        });
    }

    pub fn cloud(&self, call: u64, request: CloudRequest) {
        let (client, address) = (self.client.clone(), self.cloud);
        self.run(&self.events, async move {
            let (method, path, body) = match &request {
                CloudRequest::Catalogue => (Method::GET, "/catalog".into(), Vec::new()),
                CloudRequest::RequestMachines(machine_request) => {
                    (Method::POST, "/machines".into(), json(machine_request))
                }
                CloudRequest::Delete(names) => (Method::POST, "/machines/delete".into(), json(names)),
                CloudRequest::List { after } => (Method::GET, format!("/machines?since={after}&limit=500"), Vec::new()),
            };
            let response = client.request(address, method, &path, body, CLOUD).await;
            Input::Cloud {
                call,
                reply: cloud_reply(&request, response),
            }
        });
    }

    pub fn worker(&self, call: u64, address: String, commands: DirectCommands) {
        let client = self.client.clone();
        self.run(&self.events, async move {
            let reply = match address.parse() {
                Ok(address) => {
                    let response = client
                        .request(address, Method::POST, "/do", json(&commands), WORKER)
                        .await;
                    worker_reply(response)
                }
                Err(_) => WorkerReply::NotDelivered,
            };
            Input::Worker { call, reply }
        });
    }
}

fn json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

fn read<T: DeserializeOwned>(body: &Bytes) -> Option<T> {
    serde_json::from_slice(body)
        .inspect_err(|error| tracing::error!(%error, "an answer can't be read"))
        .ok()
}

fn store_request(request: &StoreRequest) -> (Method, String, Vec<u8>, Duration) {
    match request {
        StoreRequest::Get(key) => (Method::GET, format!("/store/{key}"), Vec::new(), STORE),
        StoreRequest::List { prefix, after } => {
            let since = if after.is_empty() {
                String::new()
            } else {
                format!("&since={after}")
            };
            (
                Method::GET,
                format!("/store?starts={prefix}{since}&limit=400"),
                Vec::new(),
                STORE,
            )
        }
        StoreRequest::Transact(transaction) => (Method::POST, "/multi".into(), json(transaction), STORE),
        StoreRequest::Grant { ttl_ms } => (
            Method::POST,
            "/leases".into(),
            json(&LeaseRequest { ttl_ms: *ttl_ms }),
            STORE,
        ),
        StoreRequest::Renew(lease) => (Method::POST, format!("/leases/{lease}/extend"), Vec::new(), STORE),
        StoreRequest::Watch { prefix, since, wait_ms } => (
            Method::GET,
            format!("/changes?starts={prefix}&since={since}&holdMs={wait_ms}"),
            Vec::new(),
            STORE + Duration::from_millis(*wait_ms),
        ),
    }
}

fn store_reply(request: &StoreRequest, response: Result<(u16, Bytes), Failure>) -> StoreReply {
    let (status, body) = match response {
        Ok(response) => response,
        Err(Failure::NotSent) => return StoreReply::Unavailable,
        Err(Failure::Lost) => return StoreReply::Unanswered,
    };
    let reply = match (request, status) {
        (_, 429) => Some(StoreReply::Throttled),
        (_, 503) => Some(StoreReply::Unavailable),
        (StoreRequest::Get(_), 200) => read::<Entry>(&body).map(|entry| StoreReply::Found {
            value: entry.value,
            version: entry.version,
        }),
        (StoreRequest::Get(_), 404) => Some(StoreReply::Missing),
        (StoreRequest::List { .. }, 200) => read(&body).map(StoreReply::Page),
        (StoreRequest::Transact(_), 200) => read::<Revision>(&body).map(|answer| StoreReply::Committed {
            revision: answer.revision,
        }),
        (StoreRequest::Transact(_), 409) => {
            read::<Revision>(&body).map(|answer| StoreReply::Conflict { failed: answer.failed })
        }
        (StoreRequest::Transact(_), 400) => {
            tracing::warn!(body = %String::from_utf8_lossy(&body), "a transaction was refused");
            Some(StoreReply::LeaseGone)
        }
        (StoreRequest::Grant { .. }, 200) => {
            read::<LeaseAnswer>(&body).map(|answer| StoreReply::Granted { lease: answer.lease })
        }
        (StoreRequest::Renew(_), 200) => Some(StoreReply::Renewed),
        (StoreRequest::Renew(_), 404) => Some(StoreReply::LeaseGone),
        (StoreRequest::Watch { .. }, 200) => read(&body).map(StoreReply::Log),
        (StoreRequest::Watch { .. }, 410) => Some(StoreReply::TooOld),
        _ => None,
    };
    // Whatever else it says, it may have done it.
    reply.unwrap_or_else(|| {
        tracing::warn!(status, body = %String::from_utf8_lossy(&body), "unexpected answer of the state service");
        StoreReply::Unanswered
    })
}

fn cloud_reply(request: &CloudRequest, response: Result<(u16, Bytes), Failure>) -> CloudReply {
    let (status, body) = match response {
        Ok(response) => response,
        Err(Failure::NotSent) => return CloudReply::Unavailable,
        Err(Failure::Lost) => return CloudReply::Unanswered,
    };
    let reply = match (request, status) {
        (CloudRequest::Catalogue, 200) => read(&body).map(CloudReply::Catalogue),
        (CloudRequest::RequestMachines(_), 200) => read(&body).map(CloudReply::Provisioned),
        (CloudRequest::RequestMachines(_), 503) if no_capacity(&body) => Some(CloudReply::NoCapacity),
        (CloudRequest::RequestMachines(_), 400) => Some(CloudReply::Malformed),
        (CloudRequest::Delete(_), 200) => Some(CloudReply::Deleted),
        (CloudRequest::List { .. }, 200) => read(&body).map(CloudReply::Listed),
        (_, 429 | 503) => Some(CloudReply::Unavailable),
        _ => None,
    };
    reply.unwrap_or(CloudReply::Unanswered)
}

/// The cloud says 503 both when it has no such machine and during an outage.
fn no_capacity(body: &Bytes) -> bool {
    let value: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    value.is_some_and(|value| value.get("error").and_then(|error| error.as_str()) == Some("no capacity"))
}

fn worker_reply(response: Result<(u16, Bytes), Failure>) -> WorkerReply {
    match response {
        Ok((200, body)) => read(&body).map_or(WorkerReply::Unanswered, WorkerReply::Executed),
        Ok((409, body)) => read(&body).map_or(WorkerReply::NotDelivered, WorkerReply::Refused),
        Ok((400, _)) => WorkerReply::NotDelivered,
        Ok(_) | Err(Failure::Lost) => WorkerReply::Unanswered,
        Err(Failure::NotSent) => WorkerReply::NotDelivered,
    }
}

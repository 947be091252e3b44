//! The controller's calls to the state service, the cloud and workers.
//!
//! Each call runs in its own task, which passes the reply to the event loop.

mod cloud;
mod json;
mod store;
mod worker;

use super::event::Event;
use super::http_client::{HttpClient, HttpResponse, RequestError};
use crate::controller::{CloudRequest, Input};
use crate::settings::Settings;
use crate::store::StoreRequest;
use crate::wire::DirectCommands;
use std::net::SocketAddr;
use tokio::sync::mpsc;

/// The outcome of a call: its response, or why there is none.
type CallResult = Result<HttpResponse, RequestError>;

/// Starts calls and passes their replies to the event loop.
pub struct ServiceCalls {
    client: HttpClient,
    store_address: SocketAddr,
    cloud_address: SocketAddr,
    /// Queue for the replies of the cloud and of workers.
    events: mpsc::Sender<Event>,
    /// Queue for the replies of the state service, on which the leader's lease depends.
    store_events: mpsc::Sender<Event>,
}

impl ServiceCalls {
    /// Prepares calls to the services at the addresses in the settings.
    pub fn new(settings: &Settings, events: mpsc::Sender<Event>, store_events: mpsc::Sender<Event>) -> ServiceCalls {
        ServiceCalls {
            client: HttpClient::new(settings.connections().kept_idle),
            store_address: settings.services.state,
            cloud_address: settings.services.cloud,
            events,
            store_events,
        }
    }

    /// Sends a request to the state service.
    pub fn call_store(&self, call: u64, request: StoreRequest) {
        let (client, address) = (self.client.clone(), self.store_address);
        spawn_call(&self.store_events, async move {
            let result = client.send(address, store::http_request(&request)).await;
            let reply = store::reply(&request, result);
            Input::Store { call, reply }
        });
    }

    /// Sends a request to the cloud.
    pub fn call_cloud(&self, call: u64, request: CloudRequest) {
        let (client, address) = (self.client.clone(), self.cloud_address);
        spawn_call(&self.events, async move {
            let result = client.send(address, cloud::http_request(&request)).await;
            let reply = cloud::reply(&request, result);
            Input::Cloud { call, reply }
        });
    }

    /// Sends commands to a worker, at the address that it reported.
    pub fn call_worker(&self, call: u64, address: String, commands: DirectCommands) {
        let client = self.client.clone();
        spawn_call(&self.events, async move {
            let result = match address.parse() {
                Ok(address) => client.send(address, worker::http_request(&commands)).await,
                Err(_) => Err(RequestError::NotSent),
            };
            let reply = worker::reply(result);
            Input::Worker { call, reply }
        });
    }
}

/// Runs a call in its own task and puts the resulting input into a queue.
fn spawn_call(events: &mpsc::Sender<Event>, call: impl Future<Output = Input> + Send + 'static) {
    let events = events.clone();
    tokio::spawn(async move {
        let input = call.await;
        // Fails only if the event loop has ended, which it does only with the process.
        let _ = events.send(Event::Input(input)).await;
    });
}

#[cfg(test)]
mod tests;

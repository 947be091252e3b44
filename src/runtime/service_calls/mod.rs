//! The controller's calls to the state service, the cloud and workers.
//!
//! Each call is a task of its own, which hands the reply to the event loop.

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

/// What came of a call.
type CallResult = Result<HttpResponse, RequestError>;

/// Starts calls and hands their replies to the event loop.
pub struct ServiceCalls {
    client: HttpClient,
    state: SocketAddr,
    cloud: SocketAddr,
    events: mpsc::Sender<Event>,
    /// For the state service's replies, on which the lease depends.
    store_events: mpsc::Sender<Event>,
}

impl ServiceCalls {
    /// Calls the services that the settings name.
    pub fn new(settings: &Settings, events: mpsc::Sender<Event>, store_events: mpsc::Sender<Event>) -> ServiceCalls {
        ServiceCalls {
            client: HttpClient::new(settings.connections().kept_idle),
            state: settings.services.state,
            cloud: settings.services.cloud,
            events,
            store_events,
        }
    }

    /// Sends a request to the state service.
    pub fn store(&self, call: u64, request: StoreRequest) {
        let (client, address) = (self.client.clone(), self.state);
        spawn_call(&self.store_events, async move {
            let result = client.send(address, store::http_request(&request)).await;
            let reply = store::reply(&request, result);
            Input::Store { call, reply }
        });
    }

    /// Sends a request to the cloud.
    pub fn cloud(&self, call: u64, request: CloudRequest) {
        let (client, address) = (self.client.clone(), self.cloud);
        spawn_call(&self.events, async move {
            let result = client.send(address, cloud::http_request(&request)).await;
            let reply = cloud::reply(&request, result);
            Input::Cloud { call, reply }
        });
    }

    /// Delivers commands to a worker at the address that it reported.
    pub fn worker(&self, call: u64, address: String, commands: DirectCommands) {
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

fn spawn_call(events: &mpsc::Sender<Event>, call: impl Future<Output = Input> + Send + 'static) {
    let events = events.clone();
    tokio::spawn(async move {
        let input = call.await;
        // The loop ends only with the process.
        let _ = events.send(Event::Input(input)).await;
    });
}

#[cfg(test)]
mod tests;

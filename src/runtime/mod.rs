//! The only part that does I/O: serves users, workers and peers, carries out
//! what the controller wants, and feeds it what came of it.

mod clock;
mod event;
mod event_loop;
mod event_loop_monitor;
mod http_client;
mod http_endpoint;
mod http_server;
mod peer_links;
mod serve;
mod service_calls;
mod sockets;

pub use http_client::{HttpClient, HttpRequest, HttpResponse, RequestError};
pub use serve::{ServeError, serve};

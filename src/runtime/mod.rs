//! All I/O of a controller process: serves users, workers and peers, carries out the
//! outputs of the controller and feeds the results back to it.

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

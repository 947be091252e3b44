//! What the event loop takes in.

use crate::controller::Input;
use crate::peers::{Answer, UserRequest};
use crate::wire::Report;
use tokio::sync::oneshot;

/// What the HTTP server, the peer links and the service calls hand to the event loop.
pub enum Event {
    /// A user asks.
    UserRequest {
        /// What is asked.
        user_request: UserRequest,
        /// Takes the answer.
        reply: oneshot::Sender<Answer>,
    },
    /// A health check.
    Health {
        /// Takes the answer.
        reply: oneshot::Sender<Answer>,
    },
    /// A worker reports.
    Report {
        /// What it says.
        report: Box<Report>,
        /// Takes the answer.
        reply: oneshot::Sender<Answer>,
    },
    /// Anything else, as the controller takes it.
    Input(Input),
}

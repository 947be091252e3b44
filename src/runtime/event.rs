//! The events that the event loop processes.

use crate::controller::Input;
use crate::peers::{Answer, UserRequest};
use crate::wire::Report;
use tokio::sync::oneshot;

/// An event for the event loop, sent by the HTTP endpoint, a peer link or a service call.
pub enum Event {
    /// A request from a user.
    UserRequest {
        /// The request: submits, shows or cancels a job.
        user_request: UserRequest,
        /// Receives the answer, which becomes the HTTP response.
        reply: oneshot::Sender<Answer>,
    },
    /// A health check.
    Health {
        /// Receives the answer, which becomes the HTTP response.
        reply: oneshot::Sender<Answer>,
    },
    /// A report (heartbeat) from a worker.
    Report {
        /// The decoded report.
        report: Box<Report>,
        /// Receives the answer, which becomes the HTTP response.
        reply: oneshot::Sender<Answer>,
    },
    /// Any other input, passed to the controller unchanged.
    Input(Input),
}

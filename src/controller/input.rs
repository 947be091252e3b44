//! The inputs of the controller state machine.

use super::CloudReply;
use crate::peers::{Message, UserRequest, WorkerReply};
use crate::store::StoreReply;
use crate::wire::Report;

/// One event for [`super::Controller::step`] to handle.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed. Sent regularly by the runtime.
    Tick,
    /// A user sent a request.
    User {
        /// Identifies the request; its answer carries the same number.
        request: u64,
        /// The operation that the user requests.
        user_request: UserRequest,
    },
    /// A health check arrived.
    Health {
        /// Identifies the request; its answer carries the same number.
        request: u64,
    },
    /// A worker sent a report.
    Report {
        /// Identifies the request; its answer carries the same number.
        request: u64,
        /// The worker's report of its machine and tasks.
        report: Box<Report>,
    },
    /// Another controller sent a message.
    Peer {
        /// The decoded message.
        message: Box<Message>,
        /// The name of the controller that sent it.
        node: String,
    },
    /// A request to the state service was answered, failed or timed out.
    Store {
        /// The call id of the request, from [`super::Output::Store`].
        call: u64,
        /// The outcome of the request.
        reply: StoreReply,
    },
    /// A request to the cloud was answered, failed or timed out.
    Cloud {
        /// The call id of the request, from [`super::Output::Cloud`].
        call: u64,
        /// The outcome of the request.
        reply: CloudReply,
    },
    /// Direct commands to a worker were answered, failed or timed out.
    Worker {
        /// The call id of the commands, from [`super::Output::Worker`].
        call: u64,
        /// The outcome of the commands.
        reply: WorkerReply,
    },
}

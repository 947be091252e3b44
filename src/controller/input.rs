//! What can happen to a controller.

use super::CloudReply;
use crate::peers::{Message, UserRequest, WorkerReply};
use crate::store::StoreReply;
use crate::wire::Report;

/// One thing that happened, for [`super::Controller::step`].
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A user asks something.
    User {
        /// For the answer.
        request: u64,
        /// What is asked.
        user_request: UserRequest,
    },
    /// Somebody asks whether this controller is healthy.
    Health {
        /// For the answer.
        request: u64,
    },
    /// A worker reports.
    Report {
        /// For the answer.
        request: u64,
        /// Its report.
        report: Box<Report>,
    },
    /// Another controller sent a message.
    Peer {
        /// The message.
        message: Box<Message>,
        /// The sender.
        node: String,
    },
    /// A request to the state service ended.
    Store {
        /// That of the request.
        call: u64,
        /// Its outcome.
        reply: StoreReply,
    },
    /// A request to the cloud ended.
    Cloud {
        /// That of the request.
        call: u64,
        /// Its outcome.
        reply: CloudReply,
    },
    /// Direct commands to a worker ended.
    Worker {
        /// That of the commands.
        call: u64,
        /// Their outcome.
        reply: WorkerReply,
    },
}

//! Actions that admission asks the controller to execute.

use crate::peers::{Answer, UserRequest};
use crate::store::{EndValue, JobKey};
use crate::wire::Transaction;
use std::sync::Arc;

/// The party that is waiting for the answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Requester {
    /// A user connected to this controller, identified by the number of the HTTP request.
    User(u64),
    /// Another controller that forwarded the request.
    Peer {
        /// Name of that controller.
        node: String,
        /// The id that it gave the forwarded request.
        id: u64,
    },
}

/// An action for the controller to execute. Its reply is passed back with the `request_id`.
#[derive(Debug, PartialEq)]
pub enum AdmissionEffect {
    /// Send the answer to a request.
    Answer(Requester, Answer),
    /// Read a job's end key; the reply goes to
    /// [`Admission::on_end_read`](super::Admission::on_end_read).
    ReadEnd {
        /// Id of the request that is waiting for the reply.
        request_id: u64,
        /// Name of the key.
        key: String,
    },
    /// Send a create-once write; the reply goes to
    /// [`Admission::on_write_reply`](super::Admission::on_write_reply).
    Write {
        /// Id of the request that is waiting for the reply.
        request_id: u64,
        /// The transaction to send.
        transaction: Arc<Transaction>,
    },
    /// Forward a request to another controller; the answer goes to
    /// [`Admission::on_peer_answer`](super::Admission::on_peer_answer).
    Forward {
        /// Id of the request that is waiting for the answer.
        request_id: u64,
        /// Name of the controller to forward the request to.
        node: String,
        /// The request to be answered there.
        user_request: UserRequest,
    },
    /// Announce a job's end to another controller; its confirmation goes to
    /// [`Admission::on_end_confirmed`](super::Admission::on_end_confirmed).
    ConfirmEnd {
        /// Name of the controller.
        node: String,
        /// Id of the job.
        job_id: String,
        /// How the job ended.
        end: EndValue,
        /// The revision of the store from which on the end can be read.
        revision: u64,
    },
    /// Confirm a job's end to the controller that announced it.
    EndConfirmed {
        /// Name of the controller.
        node: String,
        /// Id of the job.
        job_id: String,
    },
    /// Ask another controller whether a job is unknown; the reply goes to
    /// [`Admission::on_unknown_confirmed`](super::Admission::on_unknown_confirmed).
    ConfirmUnknown {
        /// Id of the request that is waiting for the reply.
        request_id: u64,
        /// Name of the controller.
        node: String,
        /// Id of the job.
        job_id: String,
    },
    /// Record in the watch cache a job key that this controller has written.
    RecordJob {
        /// Id of the job.
        id: String,
        /// The new value of the key.
        job: JobKey,
        /// Store revision of the write, which is the new version of the key.
        revision: u64,
    },
}

//! What admission asks the controller to do.

use crate::peers::{Answer, UserRequest};
use crate::store::JobKey;
use crate::wire::Transaction;
use std::sync::Arc;

/// Who waits for the answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Requester {
    /// A user of this controller, by the number of the HTTP request.
    User(u64),
    /// Another controller that forwarded the request.
    Peer {
        /// Name of that controller.
        node: String,
        /// Number under which it forwarded the request.
        id: u64,
    },
}

/// What admission wants done. A reply is given back under the `request_id`.
#[derive(Debug, PartialEq)]
pub enum AdmissionEffect {
    /// Answer a request.
    Answer(Requester, Answer),
    /// Read the key that says how a job ended; the reply goes to
    /// [`Admission::on_end_read`](super::Admission::on_end_read).
    ReadEnd {
        /// The request that waits for it.
        request_id: u64,
        /// Name of the key.
        key: String,
    },
    /// Send a create-once write; the reply goes to
    /// [`Admission::on_write_reply`](super::Admission::on_write_reply).
    Write {
        /// The request that waits for it.
        request_id: u64,
        /// The write.
        transaction: Arc<Transaction>,
    },
    /// Forward a request to another controller; the answer goes to
    /// [`Admission::on_peer_answer`](super::Admission::on_peer_answer).
    Forward {
        /// The request that waits for it.
        request_id: u64,
        /// Name of that controller.
        node: String,
        /// The request as the user made it.
        user_request: UserRequest,
    },
    /// Record a job key that was written by us.
    RecordJob {
        /// Id of the job.
        id: String,
        /// Value of the key.
        job: JobKey,
        /// Revision of the write.
        revision: u64,
    },
}

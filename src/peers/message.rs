//! Messages between controllers.
//!
//! A frame contains the name of a variant as text and its fields by position. Controllers
//! of different versions communicate during an update, so the encoding must stay compatible:
//! variants whose name in the code differs from the name in the frame have a
//! `serde(rename)`, the order of fields must not change, and structs are encoded like tuples
//! with the same order of fields.

use crate::Millis;
use crate::store::{EndValue, JobKey};
use crate::wire::{DirectCommands, Report, ReportAnswer};
use serde::{Deserialize, Serialize};

/// A user's request, in the form in which controllers forward it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum UserRequest {
    /// Submit the job described by this JSON document.
    Submit(String),
    /// Show the state of the job with this id.
    Show(String),
    /// Cancel the job with this id.
    Cancel(String),
}

/// An HTTP answer to a user or a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status code.
    pub status: u16,
    /// The body, a JSON document or empty.
    pub body: String,
    /// The value of the `Retry-After` header, in seconds, if the request may be retried.
    pub retry_after_s: Option<u32>,
}

/// How the receiver of a relayed report handled it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReportReply {
    /// The leader merged the report and answers the worker.
    #[serde(rename = "Taken")]
    Accepted(ReportAnswer),
    /// The worker should report to this controller, or to any other one if `None`.
    #[serde(rename = "Elsewhere")]
    Redirected(Option<String>),
}

/// The outcome of direct commands to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum WorkerReply {
    /// The commands were executed. Contains the worker's report after them.
    #[serde(rename = "Done")]
    Executed(Box<Report>),
    /// The commands were not executed because the fencing token is too low or the agent epoch
    /// differs. Contains the worker's report.
    Refused(Box<Report>),
    /// The commands were not delivered and will not be delivered later.
    #[serde(rename = "NotSent")]
    NotDelivered,
    /// The commands were sent and not answered. They may have been executed or may be executed
    /// later.
    #[serde(rename = "Lost")]
    Unanswered,
}

/// A worker's report that is relayed to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedReport {
    /// An id chosen by the relaying controller and repeated in the reply.
    pub id: u64,
    /// The report as the worker sent it.
    pub report: Report,
}

/// The leader's reply to a relayed report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedReportReply {
    /// The id that the relaying controller chose for the report.
    pub id: u64,
    /// Whether the report was accepted or redirected.
    pub reply: ReportReply,
}

/// Direct commands to one worker that a peer is asked to deliver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AddressedCommands {
    /// An id chosen by the leader and repeated in the reply.
    pub id: u64,
    /// The address on which the worker listens.
    pub address: String,
    /// The commands for the worker to execute.
    pub commands: DirectCommands,
}

/// The outcome of direct commands that a peer delivered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CommandReply {
    /// The id that the leader chose for the commands.
    pub id: u64,
    /// Whether the worker executed the commands, with its report if it replied.
    pub reply: WorkerReply,
}

/// The key of a cancelled job in the state service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CancelledJob {
    /// The value of the job's key.
    pub key: JobKey,
    /// The version of the job's key.
    pub version: u64,
}

/// Task counts of an unfinished job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobTaskCounts {
    /// The job's id.
    pub job: String,
    /// The number of tasks that are done.
    pub done: u32,
    /// The number of tasks that are running.
    pub running: u32,
}

/// A message between controllers. All messages except replies contain the name of the shard that
/// they concern.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Sent periodically to report the sender's state.
    Heartbeat {
        /// Name of the sender.
        node: String,
        /// The shard that the sender may lead.
        shard: String,
        /// The term under which the sender leads the shard, or `None` if it does not lead it.
        leading_term: Option<u64>,
        /// Whether the sender can use the state service.
        store_reachable: bool,
    },
    /// A user's request that the receiver is asked to answer.
    #[serde(rename = "Forward")]
    ForwardRequest {
        /// The shard that the request is about.
        shard: String,
        /// An id chosen by the sender and repeated in the reply.
        id: u64,
        /// The user's request.
        user_request: UserRequest,
    },
    /// The answer to a forwarded request.
    #[serde(rename = "Forwarded")]
    ForwardReply {
        /// The id that the receiver chose for the forwarded request.
        id: u64,
        /// The answer to send to the user.
        answer: Answer,
    },
    /// A batch of workers' reports for the leader to answer.
    #[serde(rename = "Relay")]
    RelayReports {
        /// The shard whose leader should answer.
        shard: String,
        /// The reports in the order in which they were received.
        reports: Vec<RelayedReport>,
    },
    /// The leader's replies to relayed reports.
    #[serde(rename = "Relayed")]
    ReportReplies {
        /// The replies in the order of the reports.
        replies: Vec<RelayedReportReply>,
    },
    /// Direct commands for the receiver to deliver to workers.
    #[serde(rename = "Push")]
    DeliverCommands {
        /// The shard of the workers.
        shard: String,
        /// The commands, one entry per worker.
        commands: Vec<AddressedCommands>,
    },
    /// The outcomes of direct commands that the sender delivered.
    #[serde(rename = "Pushed")]
    CommandReplies {
        /// The outcomes in the order in which they became known.
        replies: Vec<CommandReply>,
    },
    /// A request for a lease extension, sent by a leader that can't reach the state service
    /// (see [`crate::election`]).
    #[serde(rename = "Hold")]
    RequestLeaseExtension {
        /// The shard that the sender leads.
        shard: String,
        /// The sender's term. The grant repeats it, because `requested_at` is meaningless to
        /// another incarnation of the sender.
        term: u64,
        /// The time of the request, on the sender's monotonic clock.
        requested_at: Millis,
        /// The revision of the sender's watch cache.
        watch_revision: u64,
    },
    /// A grant of a lease extension, which is needed from every other controller.
    #[serde(rename = "Held")]
    GrantLeaseExtension {
        /// The term of the request.
        term: u64,
        /// The time of the request, copied from it.
        requested_at: Millis,
        /// The jobs cancelled after the revision of the request, as far as the sender knows.
        cancelled_jobs: Vec<CancelledJob>,
    },
    /// Announces how a job ended before a user is told. Sent to members only, which can read it.
    ConfirmEnd {
        /// The shard of the job.
        shard: String,
        /// Id of the job.
        job: String,
        /// How the job ended.
        end: EndValue,
        /// The revision of the store from which on the job's end can be read.
        revision: u64,
    },
    /// The reply to [`Message::ConfirmEnd`]: the sender knows of the end, and neither it nor a
    /// controller that it answered gives an older state of the job any more.
    EndConfirmed {
        /// Id of the job.
        job: String,
    },
    /// Asks whether a job is unknown, before a user is told so. Sent to members only.
    ConfirmUnknown {
        /// The shard of the job.
        shard: String,
        /// An id chosen by the sender and repeated in the reply.
        id: u64,
        /// Id of the job.
        job: String,
    },
    /// The reply to [`Message::ConfirmUnknown`].
    UnknownConfirmed {
        /// The id of the question.
        id: u64,
        /// Whether the sender has not told any user that the job is accepted, and does not for a
        /// while. False also if it can't be sure.
        is_unknown: bool,
    },
    /// Task counts of unfinished jobs, which the leader sends so that every controller can show
    /// them to users.
    #[serde(rename = "Counts")]
    TaskCounts {
        /// The shard of the jobs.
        shard: String,
        /// The counts, one entry per job.
        counts: Vec<JobTaskCounts>,
    },
}

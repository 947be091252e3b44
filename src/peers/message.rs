//! Messages between controllers.
//!
//! A frame holds the name of a variant as text and its fields by position. Controllers
//! of different versions talk to each other during an update, so variants that were
//! renamed in the code keep their name in the frame by `serde(rename)`, fields keep
//! their order, and a struct stands where a tuple of the same order would do.

use crate::Millis;
use crate::store::JobKey;
use crate::wire::{DirectCommands, Report, ReportAnswer};
use serde::{Deserialize, Serialize};

/// What a user asks, as one controller forwards it to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum UserRequest {
    /// Submit the job that this JSON document describes.
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
    /// The JSON document that is the body, or nothing.
    pub body: String,
    /// When to ask again, if that may help.
    pub retry_after_s: Option<u32>,
}

/// How a relayed report was taken.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReportReply {
    /// The leader merged it.
    #[serde(rename = "Taken")]
    Accepted(ReportAnswer),
    /// Report to this controller, or (`None`) to any other.
    #[serde(rename = "Elsewhere")]
    Redirected(Option<String>),
}

/// The outcome of direct commands to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum WorkerReply {
    /// Executed; the worker's report after the commands.
    #[serde(rename = "Done")]
    Executed(Box<Report>),
    /// Not executed: the fencing token is too low or the agent epoch another.
    Refused(Box<Report>),
    /// Surely not delivered, now or later.
    #[serde(rename = "NotSent")]
    NotDelivered,
    /// Sent and not answered: perhaps executed, perhaps later.
    #[serde(rename = "Lost")]
    Unanswered,
}

/// A worker's report on its way to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedReport {
    /// Chosen by the controller that relays it; its reply carries the same.
    pub id: u64,
    /// As the worker sent it.
    pub report: Report,
}

/// The leader's reply to a relayed report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedReportReply {
    /// That of the relayed report.
    pub id: u64,
    /// How the report was taken.
    pub reply: ReportReply,
}

/// Direct commands to one worker, for a peer to deliver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AddressedCommands {
    /// Chosen by the leader; the reply carries the same.
    pub id: u64,
    /// Where the worker listens.
    pub address: String,
    /// What it is to execute.
    pub commands: DirectCommands,
}

/// The outcome of direct commands that a peer delivered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CommandReply {
    /// That of the commands.
    pub id: u64,
    /// What came of them.
    pub reply: WorkerReply,
}

/// A cancelled job, as its key in the state service says.
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
    /// Tasks that are done.
    pub done: u32,
    /// Tasks that are running.
    pub running: u32,
}

/// A message between controllers. Where it concerns a shard, it says which.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Sent all the time: who is there, and what it can reach.
    Heartbeat {
        /// The sender.
        node: String,
        /// The shard that it may lead.
        shard: String,
        /// The term under which it leads the shard, if it does.
        leading_term: Option<u64>,
        /// Whether it can use the state service.
        store_reachable: bool,
    },
    /// A user's request for the receiver to answer.
    #[serde(rename = "Forward")]
    ForwardRequest {
        /// The shard that the request is about.
        shard: String,
        /// Chosen by the sender; the reply carries the same.
        id: u64,
        /// What the user asks.
        user_request: UserRequest,
    },
    /// The answer to a forwarded request.
    #[serde(rename = "Forwarded")]
    ForwardReply {
        /// That of the request.
        id: u64,
        /// What to tell the user.
        answer: Answer,
    },
    /// Reports of workers, many at once, for the leader to answer.
    #[serde(rename = "Relay")]
    RelayReports {
        /// The shard whose leader is to answer.
        shard: String,
        /// In the order in which they came.
        reports: Vec<RelayedReport>,
    },
    /// The leader's replies to relayed reports.
    #[serde(rename = "Relayed")]
    ReportReplies {
        /// In the order of the reports.
        answers: Vec<RelayedReportReply>,
    },
    /// Direct commands for the peer to deliver to workers.
    #[serde(rename = "Push")]
    DeliverCommands {
        /// The shard of the workers.
        shard: String,
        /// One entry each worker.
        commands: Vec<AddressedCommands>,
    },
    /// The outcomes of direct commands that the sender delivered.
    #[serde(rename = "Pushed")]
    CommandReplies {
        /// In the order in which they became known.
        replies: Vec<CommandReply>,
    },
    /// A leader that can't reach the state service asks for a lease extension (see
    /// [`crate::election`]).
    #[serde(rename = "Hold")]
    RequestLeaseExtension {
        /// The shard that the sender leads.
        shard: String,
        /// The sender's term. `requested_at` means nothing to another incarnation of it.
        term: u64,
        /// When it asks, by its own monotonic clock.
        requested_at: Millis,
        /// The revision that its watch cache shows.
        watch_revision: u64,
    },
    /// The grant that a lease extension needs from every other controller.
    #[serde(rename = "Held")]
    GrantLeaseExtension {
        /// That of the request.
        term: u64,
        /// That of the request.
        requested_at: Millis,
        /// Jobs that were cancelled after the revision of the request.
        cancelled_jobs: Vec<CancelledJob>,
    },
    /// Task counts of unfinished jobs, for display.
    #[serde(rename = "Counts")]
    TaskCounts {
        /// The shard of the jobs.
        shard: String,
        /// One entry each job.
        counts: Vec<JobTaskCounts>,
    },
}

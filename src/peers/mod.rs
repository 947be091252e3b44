//! The other controllers: the messages exchanged with them, and the reachability and
//! leadership that their heartbeats report.

mod batch;
mod links;
mod message;

pub use batch::{BatchItem, MAX_BATCH_BYTES, batches};
pub use links::{HEARTBEAT_INTERVAL_MS, HeartbeatState, PeerLinks};
pub use message::{
    AddressedCommands, Answer, CancelledJob, CommandReply, JobTaskCounts, Message, RelayedReport, RelayedReportReply,
    ReportReply, UserRequest, WorkerReply,
};

#[cfg(test)]
mod tests;

//! The controllers beside this one: the messages exchanged with them, and what their
//! heartbeats say of who is in reach and who leads the shard.

mod links;
mod message;

pub use links::{HEARTBEAT_INTERVAL_MS, HeartbeatState, PeerLinks};
pub use message::{
    AddressedCommands, Answer, CancelledJob, CommandReply, JobTaskCounts, Message, RelayedReport, RelayedReportReply,
    ReportReply, UserRequest, WorkerReply,
};

#[cfg(test)]
mod tests;

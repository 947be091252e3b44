//! The changes that a transaction contains, by kind.

use crate::fleet::MachineRequestRecord;
use crate::ids::{ChunkId, GroupIx, JobIx};

/// The keys of one job that one transaction removes.
#[derive(Debug)]
pub(super) struct CleanUp {
    pub job: JobIx,
    /// Numbers of the chunks whose keys are removed.
    pub chunks: Vec<u32>,
    /// Whether the job's own key is removed as well, so that no key of the job remains.
    pub removes_job: bool,
}

/// An inventory group that the transaction in flight writes or removes.
#[derive(Debug)]
pub(super) struct WrittenGroup {
    pub group: GroupIx,
    /// Names of the machines in the group's value; empty if its key is removed. Names are used
    /// because an index may belong to another machine when the transaction is answered.
    pub machines: Vec<String>,
}

/// A machine request that the cloud has answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnsweredRequest {
    /// Name of the request.
    pub request: String,
    /// Version of the request's key.
    pub version: u64,
}

/// The changes in a transaction, by kind.
#[derive(Debug, Default)]
pub(super) struct Content {
    pub chunks: Vec<ChunkId>,
    pub finished_jobs: Vec<JobIx>,
    pub clean_ups: Vec<CleanUp>,
    pub groups: Vec<WrittenGroup>,
    pub machine_requests: Vec<MachineRequestRecord>,
    pub answered_requests: Vec<AnsweredRequest>,
}

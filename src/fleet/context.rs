//! The state of the other parts of a shard that fleet planning reads.

use super::MachineRequestRecord;
use crate::Millis;
use crate::pipeline::Jobs;
use crate::policy::Policy;
use crate::topology::Topology;
use crate::workers::Workers;
use std::collections::VecDeque;

/// The state of the shard at the time of one planning step.
#[derive(Clone, Copy)]
pub struct FleetContext<'a> {
    /// Current time in milliseconds on the leader's monotonic clock.
    pub now: Millis,
    /// Current wall-clock time in milliseconds since the Unix epoch, in which the due times of
    /// jobs are given.
    pub wall_clock: Millis,
    /// Name of the shard, which is part of the names of machine requests.
    pub shard_name: &'a str,
    /// Term of the leader, which is part of the names of machine requests.
    pub term: u64,
    /// The jobs that machines are needed for.
    pub jobs: &'a Jobs,
    /// The known machines and their workers.
    pub workers: &'a Workers,
    /// The machine types and zones of the cloud.
    pub topology: &'a Topology,
    /// The tuning values that operators may set.
    pub policy: &'a Policy,
    /// Machine requests that are not yet written to the state service.
    pub unwritten_requests: &'a VecDeque<MachineRequestRecord>,
}

impl FleetContext<'_> {
    /// Milliseconds without a report after which a machine counts as unresponsive.
    pub fn unresponsive_after_ms(&self) -> Millis {
        crate::millis(self.policy.silent_reports * self.workers.longest_report_interval_s())
    }
}

//! What the planning of the fleet reads of the other parts of a shard.

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
    /// The time by the leader's own clock.
    pub now: Millis,
    /// The time of day, by which jobs are due.
    pub wall_clock: Millis,
    /// Name of the shard, and the term of its leader: they make the names of requests.
    pub shard_name: &'a str,
    /// The term of the leader.
    pub term: u64,
    /// The jobs that machines are needed for.
    pub jobs: &'a Jobs,
    /// The machines there are.
    pub workers: &'a Workers,
    /// What the cloud offers.
    pub topology: &'a Topology,
    /// The operators' settings.
    pub policy: &'a Policy,
    /// Machine requests that are not written to the state service yet.
    pub unwritten_requests: &'a VecDeque<MachineRequestRecord>,
}

impl FleetContext<'_> {
    /// After this much time without a report a machine counts as unresponsive.
    pub fn unresponsive_after_ms(&self) -> Millis {
        crate::millis(self.policy.silent_reports * self.workers.longest_report_interval_s())
    }
}

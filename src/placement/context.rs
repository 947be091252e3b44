//! The parts of the controller's state that scheduling reads and changes.

use crate::Now;
use crate::pipeline::Jobs;
use crate::policy::Policy;
use crate::topology::Topology;
use crate::workers::Workers;

/// A read-only view of the cluster for scheduling decisions.
#[derive(Clone, Copy, Debug)]
pub struct Cluster<'a> {
    /// The time at which the decision is made.
    pub now: Now,
    /// The jobs and the quotas of their teams.
    pub jobs: &'a Jobs,
    /// The machines and the open attempts.
    pub workers: &'a Workers,
    /// The machine types and zones.
    pub topology: &'a Topology,
    /// The operators' tuning values.
    pub policy: &'a Policy,
}

/// A mutable view of the cluster for a round of placement, which adds attempts to jobs and
/// machines.
#[derive(Debug)]
pub struct PlacementContext<'a> {
    /// The time at which the round runs.
    pub now: Now,
    /// The jobs and the quotas of their teams.
    pub jobs: &'a mut Jobs,
    /// The machines and the open attempts.
    pub workers: &'a mut Workers,
    /// The machine types and zones.
    pub topology: &'a Topology,
    /// The operators' tuning values.
    pub policy: &'a Policy,
}

impl PlacementContext<'_> {
    /// Returns a read-only view of the same cluster.
    pub fn cluster(&self) -> Cluster<'_> {
        Cluster {
            now: self.now,
            jobs: self.jobs,
            workers: self.workers,
            topology: self.topology,
            policy: self.policy,
        }
    }
}

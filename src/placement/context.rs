//! What a round of placement reads and changes of the other slices.

use crate::Now;
use crate::pipeline::Jobs;
use crate::policy::Policy;
use crate::topology::Topology;
use crate::workers::Workers;

/// The cluster as scheduling decisions read it.
#[derive(Clone, Copy, Debug)]
pub struct Cluster<'a> {
    /// When the decision is made.
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

/// The cluster as a round of placement changes it: jobs and machines take attempts.
#[derive(Debug)]
pub struct PlacementContext<'a> {
    /// When the round runs.
    pub now: Now,
    /// The term in which it runs.
    pub term: u64,
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
    /// The same cluster, to be read only.
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

//! The quotas of the teams: guarantee, limit and current usage.

use crate::resources::Resources;

/// Tolerance for sums of fractions of a CPU, which may exceed a limit through rounding.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// A team's share of the shard's machines. Memory is not counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct TeamQuota {
    /// The resources that the team gets before other teams get more than their guarantees.
    pub guarantee: Resources,
    /// The most that the team may use of each resource; 0 for no limit.
    pub limit: Resources,
    /// The resources that the team's open attempts use.
    pub used: Resources,
}

impl TeamQuota {
    /// Whether the team may use these resources in addition. Memory is not limited.
    pub fn allows(&self, need: Resources) -> bool {
        is_within_limit(self.used.cpus, need.cpus, self.limit.cpus)
            && is_within_limit(self.used.gpus, need.gpus, self.limit.gpus)
    }
}

/// Whether the limit of one resource allows this additional use.
fn is_within_limit(used: f64, need: f64, limit: f64) -> bool {
    limit <= 0.0 || used + need <= limit + ROUNDING_TOLERANCE
}

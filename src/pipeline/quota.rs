//! What each team is guaranteed, may use at most, and uses.

use crate::resources::Resources;

/// Sums of fractions of a CPU may exceed a limit by this much through rounding.
const ROUNDING: f64 = 1e-6;

/// The share of the shard's machines that a team has.
#[derive(Clone, Copy, Debug, Default)]
pub struct TeamQuota {
    /// What the team gets before others get more than they are guaranteed.
    pub guarantee: Resources,
    /// What the team may use at most; 0 for no limit.
    pub limit: Resources,
    /// What the team's open attempts take.
    pub used: Resources,
}

impl TeamQuota {
    /// Whether the team's limit leaves room for this need. Memory is not limited.
    pub fn allows(&self, need: Resources) -> bool {
        allows(self.used.cpus, need.cpus, self.limit.cpus) && allows(self.used.gpus, need.gpus, self.limit.gpus)
    }
}

fn allows(used: f64, need: f64, limit: f64) -> bool {
    limit <= 0.0 || used + need <= limit + ROUNDING
}

//! What each team is guaranteed, may use at most, and uses.

use crate::resources::Resources;

#[derive(Clone, Copy, Debug, Default)]
pub struct TeamQuota {
    pub guarantee: Resources,
    /// 0: no limit.
    pub limit: Resources,
    pub used: Resources,
}

impl TeamQuota {
    pub fn allows(&self, need: Resources) -> bool {
        let within = |used: f64, need: f64, limit: f64| limit <= 0.0 || used + need <= limit + 1e-6;
        within(self.used.cpus, need.cpus, self.limit.cpus) && within(self.used.gpus, need.gpus, self.limit.gpus)
    }
}

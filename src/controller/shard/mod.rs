//! The leader's state of its shard, and the operations that involve several of the modules that
//! hold parts of this state.

mod attempts;
mod jobs;
mod loading;
mod machines;
mod reports;
mod scaling;
mod scheduling;
mod transactions;

use crate::Millis;
use crate::fleet::Fleet;
use crate::persistence::PendingWrites;
use crate::pipeline::Jobs;
use crate::placement::Preemptor;
use crate::policy::Policy;
use crate::settings::Settings;
use crate::topology::Topology;
use crate::wire::Catalogue;
use crate::workers::{OutcomeCounts, Workers};

/// The leader's state of its shard. A new leader creates it and loads it from the state service. A
/// raise of the term keeps it, unless the raise is to reload the shard.
pub struct Shard {
    /// The shard's name, which is part of its keys in the state service.
    pub name: String,
    /// The term under which this leader holds its claim, and the first fencing token of that term. It
    /// increases when the leader raises its term.
    pub term: u64,
    /// The operator's policy for placement and scaling.
    pub policy: Policy,
    /// The wall-clock time of the current step, in milliseconds since the Unix epoch.
    pub wall_clock: Millis,
    /// The machine types and the zones of the cloud.
    pub topology: Topology,
    /// The jobs, their tasks and the quotas of the teams.
    pub jobs: Jobs,
    /// The machines, their workers and the attempts on them.
    pub workers: Workers,
    /// The state of scaling, and the stored inventory of machines from which a new leader takes
    /// over.
    pub fleet: Fleet,
    /// The changes to write to the state service, and the transaction in flight.
    pub pending_writes: PendingWrites,
    /// Attempts closed since this was last logged, by outcome.
    pub closed_attempts: OutcomeCounts,
    /// Chooses the tasks that are stopped to make room for jobs of higher priority.
    pub preemptor: Preemptor,
}

impl Shard {
    /// Creates a shard without any jobs or machines. They are loaded from the state service
    /// afterwards.
    pub fn new(name: &str, term: u64, settings: &Settings, policy: &Policy) -> Shard {
        let params = &settings.params;
        Shard {
            name: name.into(),
            term,
            policy: policy.clone(),
            wall_clock: 0,
            topology: Topology::new(&params.zones),
            jobs: Jobs::new(params),
            workers: Workers::new(settings),
            fleet: Fleet::new(params.state.value_kb),
            pending_writes: PendingWrites::default(),
            closed_attempts: OutcomeCounts::default(),
            preemptor: Preemptor::default(),
        }
    }

    /// Sets the machine types from the cloud's catalogue.
    pub fn set_catalogue(&mut self, catalogue: &Catalogue) {
        self.topology.set_catalogue(catalogue);
    }
}

#[cfg(test)]
pub mod tests;

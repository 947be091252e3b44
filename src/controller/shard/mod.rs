//! What the leader of a shard knows: the state of each slice, and the steps that concern
//! several of them.

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
use crate::workers::Workers;

/// Everything that the leader of a shard knows of it. Made anew for every term.
pub struct Shard {
    /// The shard's name, which is part of its keys.
    pub name: String,
    /// The term in which this leader was elected.
    pub term: u64,
    /// What operators set for placement and scaling.
    pub policy: Policy,
    /// The time of day of the step now going on.
    pub wall_clock: Millis,
    /// The types of machines and the zones.
    pub topology: Topology,
    /// The jobs, their tasks and the quotas of teams.
    pub jobs: Jobs,
    /// The machines and the attempts on them.
    pub workers: Workers,
    /// What is rented, and what is known of it to a successor.
    pub fleet: Fleet,
    /// What is to be written, and the transaction in flight.
    pub pending_writes: PendingWrites,
    /// Chooses the tasks that have to make room for others.
    pub preemptor: Preemptor,
}

impl Shard {
    /// A shard of which nothing is known yet but the settings and the policy.
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
            preemptor: Preemptor::default(),
        }
    }

    /// Takes the machine types of the cloud's catalogue.
    pub fn set_catalogue(&mut self, catalogue: &Catalogue) {
        self.topology.set_catalogue(catalogue);
    }
}

#[cfg(test)]
pub mod tests;

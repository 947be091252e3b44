//! What transactions are built from.

use crate::fleet::Inventory;
use crate::pipeline::Jobs;
use crate::topology::Topology;
use crate::workers::Workers;

/// The state whose changes are written. It notes what is in flight and what is written.
#[derive(Debug)]
pub struct WriteContext<'a> {
    /// The jobs with their chunks of tasks.
    pub jobs: &'a mut Jobs,
    /// The machines and the attempts on them.
    pub workers: &'a mut Workers,
    /// The groups under which machines are written.
    pub inventory: &'a mut Inventory,
    /// The names of types and zones.
    pub topology: &'a Topology,
}
